// Package expln encodes where a host would send a request now, as JSON and as text, and serves
// it to operators.
package expln

import (
	"time"

	"github.com/pistachiotray/pistachiotray/process/choice"
	"github.com/pistachiotray/pistachiotray/process/dryrun"
	"github.com/pistachiotray/pistachiotray/process/lender"
	"github.com/pistachiotray/pistachiotray/version/route"
)

// Explanation is the encoding of a dryrun.Result. Its times are in milliseconds, and -1 where
// they are not known.
type Explanation struct {
	Host     string
	Plan     uint64
	Database string
	Writes   bool
	// Code is the number of the result code and Result its name. Reason is why the request
	// would be refused, or what it would wait for first. WaitMs is the predicted wait.
	Code   int
	Result string
	Reason string `json:",omitempty"`
	WaitMs float64
	// Route is nil if the database has none, Customer if callers are not told apart, and
	// Group if the request is refused before a target is chosen.
	Route    *routeView    `json:",omitempty"`
	Customer *customerView `json:",omitempty"`
	Group    *groupView    `json:",omitempty"`
}

// New returns the explanation of a result.
func New(r dryrun.Result) Explanation {
	e := Explanation{
		Host: r.Host, Plan: r.Plan, Database: r.Database, Writes: r.Writes,
		Code: int(r.Code), Result: r.Code.Name(), Reason: r.Reason, WaitMs: ms(r.Wait),
	}
	if r.Route.Group != "" {
		e.Route = newRouteView(r.Route)
	}
	if r.Customer.Name != "" {
		e.Customer = newCustomerView(r)
	}
	if len(r.View.Members) > 0 {
		e.Group = newGroupView(r)
	}
	return e
}

// kindNames are the names of the consistency levels of routes.
var kindNames = map[int]string{route.Primary: "Primary", route.BoundedStaleness: "BoundedStaleness", route.ReadYourWrites: "ReadYourWrites"}

// routeView is the encoding of a route. MaxAgeMs is 0 if its kind is Primary.
type routeView struct {
	Group       string
	Kind        string
	MaxAgeMs    float64
	TimeoutMs   float64
	ObjectiveMs float64
	Priority    int
	Public      bool
}

func newRouteView(rt route.Route) *routeView {
	v := &routeView{Group: rt.Group, Kind: kindNames[rt.Kind], TimeoutMs: ms(rt.Timeout), ObjectiveMs: ms(rt.LatencyObjective), Priority: rt.Priority, Public: rt.Public}
	if rt.Kind != route.Primary {
		v.MaxAgeMs = ms(rt.MaxAge)
	}
	return v
}

// customerView is the encoding of a customer and of what the host has of its limit. RatePerS and
// Burst are the limit on all hosts together, and 0 if there is none.
type customerView struct {
	Name     string
	Priority int
	RatePerS float64
	Burst    float64
	// Here is nil if the customer has no limit.
	Here *allowanceView `json:",omitempty"`
}

// allowanceView is the encoding of an allowance.
type allowanceView struct {
	RatePerS    float64
	Burst       float64
	Left        float64
	AgeMs       float64
	ValidMs     float64
	Coordinator string
	Admitted    bool
	RetryMs     float64
}

func newCustomerView(r dryrun.Result) *customerView {
	c, a := r.Customer, r.Allowance
	v := &customerView{Name: c.Name, Priority: c.Priority, RatePerS: c.Rate, Burst: c.Burst}
	if c.Limited() && r.Route.Group != "" {
		v.Here = &allowanceView{RatePerS: a.Rate, Burst: a.Burst, Left: a.Tokens, AgeMs: ms(a.Age), ValidMs: ms(a.Left), Coordinator: a.Coordinator, Admitted: a.Admitted, RetryMs: ms(a.Retry)}
	}
	return v
}

// groupView is the encoding of a view of a group.
type groupView struct {
	Leader        string
	LeaderUsable  bool
	LeaderOverdue bool
	Doubted       bool
	// Rule is how a target is chosen.
	Rule          string
	Shared        bool
	MaxWaitMs     float64
	PositionKnown bool
	Position      string
	ProofAgeMs    float64
	Targets       []targetView
}

func newGroupView(r dryrun.Result) *groupView {
	w := r.View
	v := &groupView{
		Leader: w.Leader, LeaderUsable: w.Usable, LeaderOverdue: w.Overdue, Doubted: w.Doubted, Rule: ruleOf(r), Shared: w.Shared, MaxWaitMs: ms(w.MaxWait),
		PositionKnown: w.PositionKnown, Position: w.Position.String(), ProofAgeMs: ms(w.ProofAge), Targets: make([]targetView, len(w.Members)),
	}
	for i, c := range w.Members {
		v.Targets[i] = newTargetView(c)
	}
	return v
}

// ruleOf returns by which rule a target is chosen.
func ruleOf(r dryrun.Result) string {
	checks := false
	for _, c := range r.View.Members {
		checks = checks || c.Check
	}
	switch {
	case r.Writes:
		return "the leader runs writes"
	case r.View.AtLeader:
		return "the leader runs all reads of the route"
	case checks:
		return "a replica that lags is asked whether it caught up"
	case r.View.Shared:
		return "drawn by the shares"
	}
	return "the shortest estimate"
}

// targetView is the encoding of a target. EstimateMs is the sum of WorkMs, SlotWaitMs, RetryMs and
// WayMs, and ReportAgeMs the age of the load on which it rests.
type targetView struct {
	ID          string
	Zone        string
	Leads       bool
	Unusable    string `json:",omitempty"`
	Share       float64
	EstimateMs  float64
	WorkMs      float64
	SlotWaitMs  float64
	RetryMs     float64
	WayMs       float64
	Outstanding float64
	OwnLoad     int
	Slots       int
	Slowness    float64
	FailureRate float64
	ReportAgeMs float64
	Leaving     bool
	HeardMs     float64
	FailingMs   float64
	LagMs       float64
	LagAgeMs    float64
	Check       bool
	// OwnShare is the probability with which this host uses its own connections, which
	// Connections describes, if it chooses the target.
	OwnShare    float64
	Connections connectionsView
	Lenders     []lenderView `json:",omitempty"`
}

// connectionsView is the encoding of a supply.
type connectionsView struct {
	Open, Idle, Opening, Limit int
	OfCustomer, IdleOfCustomer int
	Waiting                    int
	Strain                     float64
	Immediate                  bool
	WaitMs                     float64
	Refused                    bool
	Excess                     bool
}

// lenderView is the encoding of a lender.
type lenderView struct {
	Host    string
	Self    bool
	Share   float64
	Load    float64
	AgeMs   float64
	Skipped bool
}

func newTargetView(c choice.Choice) targetView {
	r, s := c.Rating, c.Supply
	v := targetView{
		ID: r.ID, Zone: c.Zone, Leads: r.Leads, Unusable: r.Unusable, Share: r.Share, EstimateMs: ms(r.Estimate()), WorkMs: ms(r.Work), SlotWaitMs: ms(r.Wait), RetryMs: ms(r.Retry), WayMs: ms(r.Way),
		Outstanding: r.Outstanding, OwnLoad: r.Own, Slots: r.Slots, Slowness: r.Slowness, FailureRate: r.FailureRate, ReportAgeMs: ms(r.ReportAge),
		Leaving: c.Leaving, HeardMs: ms(c.Heard), FailingMs: ms(c.Failing), LagMs: ms(c.Lag), LagAgeMs: ms(c.LagAge), Check: c.Check, OwnShare: c.Own,
		Connections: connectionsView{Open: s.Open, Idle: s.Idle, Opening: s.Opening, Limit: s.Limit, OfCustomer: s.Own, IdleOfCustomer: s.OwnIdle, Waiting: s.Waiting, Strain: s.Strain, Immediate: s.Immediate, WaitMs: ms(s.Wait), Refused: s.Refused, Excess: s.Excess},
	}
	for _, l := range c.Lenders {
		v.Lenders = append(v.Lenders, newLenderView(l))
	}
	return v
}

func newLenderView(l lender.Lender) lenderView {
	return lenderView{Host: l.Host, Self: l.Self, Share: l.Share, Load: l.Load, AgeMs: ms(l.Age), Skipped: l.Skipped}
}

// ms returns a time in milliseconds, or -1 if it is negative, which means that it is not known.
func ms(d time.Duration) float64 {
	if d < 0 {
		return -1
	}
	return float64(d.Microseconds()) / 1000
}
