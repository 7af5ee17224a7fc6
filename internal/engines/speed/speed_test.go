package speed

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"endivedeck.example/golden"
)

// TestStretches replays the load pattern: engines at 0.55 and 1.2 of the usual speed, each
// 2.5 times slower for 15% of the time in stretches of 600 ms, with a sample of each every
// 30 ms that may be too long by a queue nobody knew of. The table has, second by second,
// the least and greatest lasting factor, and how much of the stretches and of the rest was
// taken for a stretch.
func TestStretches(t *testing.T) {
	var text strings.Builder
	for _, c := range []struct {
		name   string
		speeds []float64
		share  float64 // of time in slow stretches
	}{
		{"alike", []float64{1, 1, 1, 1, 1, 1, 1, 1}, 0},
		{"a third faster", []float64{1, 1, 1.3, 1, 1, 1.3, 1, 1}, 0},
		{"uneven", []float64{0.55, 1.2, 1.2, 1.2, 0.55, 1.2, 1.2, 1.2}, 0},
		{"uneven with stretches", []float64{0.55, 1.2, 1.2, 1.2, 0.55, 1.2, 1.2, 1.2}, 0.15},
	} {
		fmt.Fprintf(&text, "%s\n", c.name)
		replay(&text, c.speeds, c.share)
	}
	golden.Check(t, "stretches.golden", text.String())
}

func replay(text *strings.Builder, speeds []float64, share float64) {
	const (
		step     = 30 * time.Millisecond
		stretch  = 600 * time.Millisecond
		slowdown = 2.5
	)
	random := rand.New(rand.NewPCG(1, 2))
	start := time.Unix(1_800_000_000, 0)
	models := make([]Model, len(speeds))
	slow := make([]bool, len(speeds))
	var inStretch, noticed, outside, mistaken int
	for at := time.Duration(0); at < 8*time.Second; at += step {
		now := start.Add(at)
		if at%stretch == 0 {
			for i := range slow {
				slow[i] = random.Float64() < share
			}
		}
		for i := range models {
			ratio := 1 / speeds[i]
			if slow[i] {
				ratio *= slowdown
			}
			ratio *= math.Exp(0.15 * random.NormFloat64())
			if random.Float64() < 0.1 {
				ratio *= 2
			}
			if at > 2*time.Second {
				marked := models[i].Passing(now) > 1
				switch {
				case slow[i]:
					inStretch++
					noticed += count(marked)
				default:
					outside++
					mistaken += count(marked)
				}
			}
			models[i].Observe(now, math.Log(ratio))
		}
		if at%time.Second < step {
			fmt.Fprintf(text, "  %2.0f s: lasting %s\n", at.Seconds(), lasting(models))
		}
	}
	fmt.Fprintf(text, "  of stretches %d%% noticed, of the rest %d%% mistaken\n", percent(noticed, inStretch), percent(mistaken, outside))
}

// lasting returns the lasting factors of the engines.
func lasting(models []Model) string {
	var medians []float64
	for _, m := range models {
		medians = append(medians, m.Typical)
	}
	slices.Sort(medians)
	var list []string
	for _, m := range models {
		list = append(list, fmt.Sprintf("%.1f", m.Lasting(medians[len(medians)/2])))
	}
	return strings.Join(list, " ")
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}

func percent(part, whole int) int { return 100 * part / max(whole, 1) }
