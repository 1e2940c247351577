package host

import (
	"context"
	"encoding/json"
	"strings"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"github.com/pistachiotray/pistachiotray/connection/wirepb"
	"github.com/pistachiotray/pistachiotray/process/gossip"
)

// commands implements the RPC service for operators.
type commands struct {
	host *Host
}

// status is the answer to the command status: the host's metrics, and the state
// of each host in its view of the fleet.
type status struct {
	metrics
	Hosts []hostStatus
}

type hostStatus struct {
	Host    string
	Address string
	Zone    string
	State   string
}

// commandResult is the answer to the commands switch and drain.
type commandResult struct {
	Done   bool
	Detail string
}

// Command runs one operator command and returns its answer as JSON.
func (c *commands) Command(ctx context.Context, r *connect.Request[wirepb.CommandRequest]) (*connect.Response[wirepb.CommandReply], error) {
	c.host.log.Info("operator command received", zap.String("Command", r.Msg.GetName()), zap.Strings("Arguments", r.Msg.GetArguments()))
	answer, err := c.run(ctx, r.Msg.GetName(), r.Msg.GetArguments())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	encoded, err := json.Marshal(answer)
	if err != nil {
		return nil, errors.Wrap(err, "commands.Command")
	}
	return connect.NewResponse(&wirepb.CommandReply{Json: encoded}), nil
}

func (c *commands) run(ctx context.Context, name string, arguments []string) (any, error) {
	switch {
	case name == "status" && len(arguments) == 0:
		return c.status(), nil
	case name == "explain" && len(arguments) == 1:
		return c.host.decisions.Explain(arguments[0]), nil
	case name == "switch" && len(arguments) == 2:
		return c.switchPrimary(arguments[0], arguments[1]), nil
	case name == "drain" && len(arguments) == 0:
		return c.drain(ctx), nil
	}
	return nil, errors.Errorf("unknown command or wrong number of arguments: %s %s", name, strings.Join(arguments, " "))
}

func (c *commands) status() status {
	s := status{metrics: c.host.metrics()}
	for _, h := range c.host.fleet.Hosts() {
		s.Hosts = append(s.Hosts, hostStatus{h.Host, h.Address, h.Zone, stateName(h.State)})
	}
	return s
}

func stateName(state int) string {
	switch state {
	case gossip.Alive:
		return "Alive"
	case gossip.Suspect:
		return "Suspect"
	case gossip.Dead:
		return "Dead"
	}
	return "Left"
}

// switchPrimary starts a planned switchover of a group's primary to the member.
// If the switchover cannot start, Done is false and Detail contains the possible
// reasons.
func (c *commands) switchPrimary(name, member string) commandResult {
	if owner := c.host.engine.Owner(name); owner != c.host.settings.Host {
		return commandResult{Detail: "the owner of the group is host " + owner}
	}
	if !c.host.engine.StartSwitchover(name, member) {
		return commandResult{Detail: "no such group or member, the member leads already, or a change is in progress"}
	}
	c.host.trail.Record("Switch", name, "planned, to "+member)
	return commandResult{Done: true, Detail: "begun"}
}

// drain drains the host, for at most the drain time in the settings. The process
// continues to run.
func (c *commands) drain(ctx context.Context) commandResult {
	ctx, stop := context.WithTimeout(ctx, c.host.settings.DrainTime)
	defer stop()
	remained := c.host.Drain(ctx)
	return commandResult{Done: remained == 0, Detail: formatUint(uint64(remained)) + " requests and callers remained"}
}
