package meter_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/pistachiotray/pistachiotray/process/meter"
)

// customers returns the counts of customers in the metrics, nil if there are none.
func customers(t *testing.T, m *meter.Meter) map[string]map[string]int64 {
	t.Helper()
	encoded, err := json.Marshal(m.Metrics())
	if err != nil {
		t.Fatal(err)
	}
	var got struct{ Customers map[string]map[string]int64 }
	if err := json.Unmarshal(encoded, &got); err != nil {
		t.Fatal(err)
	}
	return got.Customers
}

// Metrics must stay small however many customers there are, and lose no statement.
func TestCustomersAreBounded(t *testing.T) {
	is := is.New(t)
	m := meter.New(zap.NewNop())
	const shown, count = 20, 5000
	total := int64(0)
	for i := range count {
		for range 1 + max(0, shown+5-i) {
			m.Record("c", fmt.Sprint("customer-", i), "orders", "1", "Done", time.Millisecond)
			total++
		}
	}
	m.Record("c", "other", "orders", "1", "NotRunBusy", time.Millisecond)
	got := customers(t, m)
	is.Equal(len(got), shown+1)
	for i := range shown {
		is.Equal(got[fmt.Sprint("customer-", i)], map[string]int64{"Done": int64(1 + shown + 5 - i)})
		total -= got[fmt.Sprint("customer-", i)]["Done"]
	}
	is.Equal(got["other"], map[string]int64{"Done": total, "NotRunBusy": 1})
}

// A deployment that does not tell its callers apart has the lines and metrics that it had.
func TestCustomersAreLeftOutWithoutCustomers(t *testing.T) {
	is := is.New(t)
	core, logs := observer.New(zapcore.InfoLevel)
	m := meter.New(zap.New(core))
	m.Record("c", "", "orders", "1", "Done", time.Millisecond)
	m.Record("c", "bakery", "orders", "2", "UnknownKey", time.Millisecond)
	encoded, err := json.Marshal(meter.New(zap.NewNop()).Metrics())
	is.NoErr(err)
	is.Equal(string(encoded), `{"Outcomes":{},"TimesMs":{}}`)
	is.Equal(customers(t, m), map[string]map[string]int64{"bakery": {"UnknownKey": 1}})
	lines := logs.All()
	is.Equal(len(lines), 2)
	_, ok := lines[0].ContextMap()["Customer"]
	is.True(!ok)
	is.Equal(lines[1].ContextMap()["Customer"], "bakery")
}
