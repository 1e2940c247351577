package soak_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pistachiotray/pistachiotray/standin/faulty"
	"github.com/pistachiotray/pistachiotray/standin/ledger"
)

// buildProgram returns the path of the program, which is built unless
// PISTACHIOTRAY_SOAK_PROGRAM names one.
func buildProgram(t *testing.T) string {
	t.Helper()
	if program := os.Getenv("PISTACHIOTRAY_SOAK_PROGRAM"); program != "" {
		return program
	}
	program := filepath.Join(t.TempDir(), "pistachiotray")
	if output, err := exec.Command("go", "build", "-o", program, "../../cmd/pistachiotray").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, output)
	}
	return program
}

// byHand sets the number of seeds from a variable, and the first one from
// PISTACHIOTRAY_SOAK_FROM. It returns false and sets nothing if the variable is not set.
func byHand(seeds, from *int, variable string) bool {
	text := os.Getenv(variable)
	if text == "" {
		return false
	}
	*seeds, _ = strconv.Atoi(text)
	*from, _ = strconv.Atoi(os.Getenv("PISTACHIOTRAY_SOAK_FROM"))
	return true
}

// TestSoakAtSize runs hosts and members at the size of the deployments as processes of
// their own. PISTACHIOTRAY_SOAK_SIZE sets the number of seeds and makes the runs longer,
// and PISTACHIOTRAY_SOAK_FROM sets the first one.
func TestSoakAtSize(t *testing.T) {
	t.Parallel()
	n, from, away := 1, 1, []time.Duration{12 * time.Second}
	if byHand(&n, &from, "PISTACHIOTRAY_SOAK_SIZE") {
		away = []time.Duration{13 * time.Second, 15 * time.Second, 13 * time.Second}
	}
	program := buildProgram(t)
	for i := range n {
		seed := uint64(from + i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, program, seed, sizes[seed%2], false)
			c.play(rand.New(rand.NewPCG(seed, 2)), away)
			c.stop()
			c.check()
			c.report()
		})
	}
}

// TestSoakDetectsPlantedLoss verifies that a loss is reported.
func TestSoakDetectsPlantedLoss(t *testing.T) {
	t.Parallel()
	const plantTime = 5 * time.Second
	program := buildProgram(t)
	for name, plant := range map[string]struct {
		ackAlone bool
		options  []func(*ledger.Ledger)
	}{
		"acknowledged without a replica": {ackAlone: true},
		"shortest log promoted":          {options: []func(*ledger.Ledger){ledger.WithLeastPromoted()}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, program, 1, sizes[0], plant.ackAlone, plant.options...)
			time.AfterFunc(plantTime, func() {
				for g := range groupCount {
					leader := c.leaderSlot(g)
					replicas := slices.DeleteFunc(slices.Clone(c.slots[g*groupSize:(g+1)*groupSize]), func(m *slot) bool { return m == leader })
					replicas[0].setReplication(faulty.Silent)
					if plant.ackAlone {
						replicas[1].setReplication(faulty.Silent)
					}
					time.AfterFunc(time.Second, leader.kill)
				}
				if plant.ackAlone {
					// Hosts that know of the commits would wait for the leader.
					time.AfterFunc(time.Second, func() {
						for _, h := range c.hosts {
							go c.restart(h, syscall.SIGKILL)
						}
					})
				}
			})
			c.serve(plantTime + 7*time.Second)
			c.stop()
			is.New(t).True(len(c.ledger.Lost()) > 0)
		})
	}
}
