package plan_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/pistachiotray/pistachiotray/version/cust"
	"github.com/pistachiotray/pistachiotray/version/plan"
	"github.com/pistachiotray/pistachiotray/version/route"
)

// A caller must not work for another customer, or without a key where one is needed.
func TestIdentify(t *testing.T) {
	private, public := route.New("orders", "g", route.Primary), route.New("menu", "g", route.Primary).WithPublic(true)
	p := plan.New(1).WithCustomers(cust.New("bakery", "k1", "k2"), cust.New("cafe", "k3", "k1"), cust.New("bakery", "k4"))
	for name, test := range map[string]struct {
		plan     plan.Plan
		route    route.Route
		key      string
		customer string
		ok       bool
	}{
		"second key":                     {p, private, "k2", "bakery", true},
		"key of two customers":           {p, private, "k1", "bakery", true},
		"second customer of a name":      {p, private, "k4", "", false},
		"no key":                         {p, private, "", "", false},
		"empty key of a customer":        {p.WithCustomers(cust.New("bakery", "")), private, "", "", false},
		"name is no key":                 {p, private, "bakery", "", false},
		"public route":                   {p, public, "k3", cust.Public, true},
		"public route without customers": {plan.New(1), public, "k3", "", true},
		"deployment without customers":   {plan.New(1), private, "anything", "", true},
		"all customers were taken away":  {p.WithCustomers(), private, "k1", "", false},
		"key of a plan that it replaced": {p.WithCustomers(cust.New("bakery", "k2")), private, "k1", "", false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, ok := test.plan.Identify(test.route, test.key)
			is.Equal(ok, test.ok)
			is.Equal(c.Name, test.customer)
		})
	}
}

// A connection must not be closed as that of a customer that is gone while its route is public.
func TestPublicRoutesHaveNoLimit(t *testing.T) {
	is := is.New(t)
	c, ok := plan.New(1).WithCustomers(cust.New("bakery", "k1")).CustomerNamed(cust.Public)
	is.True(ok)
	is.True(!c.Limited())
	_, ok = plan.New(1).CustomerNamed(cust.Public)
	is.True(!ok)
}
