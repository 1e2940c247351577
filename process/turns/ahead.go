package turns

import (
	"time"

	"github.com/pistachiotray/pistachiotray/process/stride"
)

// ahead is the work that is served before some point in the order of calls.
type ahead struct {
	shares *stride.Shares
	// work is the expected time of the calls of each customer, and weights the sum of the
	// weights of these customers.
	work    map[string]time.Duration
	weights int
}

func newAhead(shares *stride.Shares) *ahead {
	return &ahead{shares: shares, work: map[string]time.Duration{}}
}

// add adds a call.
func (a *ahead) add(customer string, expected time.Duration) {
	if _, ok := a.work[customer]; !ok {
		a.weights += a.shares.Weight(customer)
	}
	a.work[customer] += expected
}

// wait returns how long the work of a customer takes on its own connections, or on its share
// of all connections if that is more. It returns 0 if there is no connection.
func (a *ahead) wait(customer string, own, all int) time.Duration {
	connections := max(float64(own), float64(all)*float64(a.shares.Weight(customer))/float64(max(a.weights, 1)))
	if connections == 0 {
		return 0
	}
	return time.Duration(float64(a.work[customer]) / connections)
}
