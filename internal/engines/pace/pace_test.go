package pace

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"endivedeck.example/golden"
)

// TestModel feeds models with samples of engines of several deployments, one in
// five of which waited in a queue that the relay didn't know of, and prints the
// error of the estimates for short and long prompts.
func TestModel(t *testing.T) {
	var got strings.Builder
	for _, e := range []struct {
		name    string
		fixedMs float64
		scale   float64
	}{
		{"nominal", 3, 1},
		{"slow to begin", 31, 3.6},
		{"half as fast", 5, 2},
	} {
		rng := rand.New(rand.NewPCG(1, 2))
		model := New(3 * time.Millisecond)
		samples := 0
		for _, until := range []int{5, 20, 200} {
			for ; samples < until; samples++ {
				nominalMs := 1 + 30*rng.Float64()
				tookMs := e.fixedMs + e.scale*nominalMs
				if rng.IntN(5) == 0 {
					tookMs += 200 * rng.Float64()
				}
				model.Observe(duration(nominalMs), duration(tookMs))
			}
			fmt.Fprintf(&got, "%-13s after %3d samples:", e.name, samples)
			for _, nominalMs := range []float64{2, 10, 40} {
				want := e.fixedMs + e.scale*nominalMs
				estimate := milliseconds(model.Estimate(duration(nominalMs)))
				fmt.Fprintf(&got, "  %3.0f ms for %3.0f", estimate, want)
			}
			got.WriteString("\n")
		}
	}
	golden.Check(t, "model.golden", got.String())
}

// TestModelLimits checks that extreme samples neither make an estimate negative
// nor unbounded.
func TestModelLimits(t *testing.T) {
	model := New(3 * time.Millisecond)
	for i := range 1000 {
		took := time.Duration(0)
		if i%2 == 0 {
			took = time.Hour
		}
		model.Observe(time.Duration(i)*time.Second, took)
	}
	if got := model.Estimate(0); got < 0 || got > time.Second {
		t.Errorf("estimate for no work: got %v, want 0 to 1 s", got)
	}
	if got := model.Scale; got < minScale || got > maxScale {
		t.Errorf("scale: got %v, want %v to %v", got, minScale, maxScale)
	}
}

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
