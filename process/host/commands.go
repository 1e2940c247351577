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

// commands are what operators may ask of a host.
type commands struct {
	host *Host
}

// status is the answer to the command status.
type status struct {
	figures
	Hosts []hostStatus
}

type hostStatus struct {
	Host    string
	Address string
	Zone    string
	State   string
}

// done is the answer to a command that orders something.
type done struct {
	Done   bool
	Detail string
}

// Command runs one command of an operator.
func (c *commands) Command(ctx context.Context, r *connect.Request[wirepb.CommandRequest]) (*connect.Response[wirepb.CommandReply], error) {
	c.host.log.Info("operator command", zap.String("Command", r.Msg.GetName()), zap.Strings("Arguments", r.Msg.GetArguments()))
	out, err := c.run(ctx, r.Msg.GetName(), r.Msg.GetArguments())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	text, err := json.Marshal(out)
	if err != nil {
		return nil, errors.Wrap(err, "commands.Command")
	}
	return connect.NewResponse(&wirepb.CommandReply{Json: text}), nil
}

func (c *commands) run(ctx context.Context, name string, arguments []string) (any, error) {
	switch {
	case name == "status" && len(arguments) == 0:
		return c.status(), nil
	case name == "explain" && len(arguments) == 1:
		return c.host.ring.Explain(arguments[0]), nil
	case name == "switch" && len(arguments) == 2:
		return c.change(arguments[0], arguments[1]), nil
	case name == "drain" && len(arguments) == 0:
		return c.drain(ctx), nil
	}
	return nil, errors.Errorf("unknown command or wrong number of arguments: %s %s", name, strings.Join(arguments, " "))
}

func (c *commands) status() status {
	s := status{figures: c.host.figures()}
	for _, n := range c.host.fleet.Hosts() {
		s.Hosts = append(s.Hosts, hostStatus{n.Host, n.Address, n.Zone, stateName(n.State)})
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

// change begins a planned change of a group's primary. An empty member takes
// one that is not the primary.
func (c *commands) change(name, member string) done {
	if owner := c.host.engine.Owner(name); owner != c.host.settings.Host {
		return done{Detail: "the owner of the group is host " + owner}
	}
	if !c.host.engine.Switch(name, member) {
		return done{Detail: "no such group or member, the member leads already, or a change is in progress"}
	}
	c.host.trail.Record("Switch", name, "planned, to "+member)
	return done{Done: true, Detail: "begun"}
}

func (c *commands) drain(ctx context.Context) done {
	ctx, stop := context.WithTimeout(ctx, c.host.settings.DrainTime)
	defer stop()
	n := c.host.Drain(ctx)
	return done{Done: n == 0, Detail: utoa(uint64(n)) + " requests and callers remained"}
}
