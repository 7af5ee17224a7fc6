package replay

import (
	"fmt"
	"io"
	"strings"
)

// Layout of the plot, in units of the SVG's view box.
const (
	plotWidth  = 720 // of a panel
	plotHeight = 150 // of a panel
	plotGap    = 40  // between panels
	plotLeft   = 60  // left margin
)

// curve is one curve of a panel.
type curve struct {
	name  string
	color string
	value func(TimelineEntry) float64
}

// Plot writes the report's timeline as an SVG image with three panels: the
// offered tokens, the goodput, and the number of prefill engines.
func Plot(out io.Writer, r *Report) {
	panels := []struct {
		title  string
		curves []curve
	}{
		{"prompt and answer tokens of offered requests, per second", []curve{
			{"prompt", "#b4552d", func(e TimelineEntry) float64 { return e.PromptTokens / bucketTime.Seconds() }},
			{"answer", "#2d6fb4", func(e TimelineEntry) float64 { return e.AnswerTokens / bucketTime.Seconds() }},
		}},
		{"requests offered and answered within their limits, per second", []curve{
			{"came", "#888888", func(e TimelineEntry) float64 { return float64(e.Offered) / bucketTime.Seconds() }},
			{"good", "#2d8f4e", func(e TimelineEntry) float64 { return float64(e.Good) / bucketTime.Seconds() }},
		}},
		{"engines in the prefill role", []curve{
			{"prefill", "#7a3db8", func(e TimelineEntry) float64 { return float64(e.PrefillEngines) }},
		}},
	}
	height := len(panels)*(plotHeight+plotGap) + plotGap
	fmt.Fprintf(out, `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 %d %d" font-family="sans-serif" font-size="12">`+"\n", plotWidth+plotLeft+20, height)
	fmt.Fprintf(out, `<text x="%d" y="18" font-size="14">%s, seed %d: routing %s, roles %s</text>`+"\n", plotLeft, r.Trace, r.Seed, r.Routing, r.Roles)
	for i, panel := range panels {
		plotPanel(out, r, plotGap+i*(plotHeight+plotGap), panel.title, panel.curves)
	}
	fmt.Fprintln(out, "</svg>")
}

// plotPanel writes one panel with its title and legend. All of its curves have
// one scale.
func plotPanel(out io.Writer, r *Report, top int, title string, curves []curve) {
	maximum := 1.0
	for _, curve := range curves {
		for _, e := range r.Timeline {
			maximum = max(maximum, curve.value(e))
		}
	}
	fmt.Fprintf(out, `<text x="%d" y="%d">%s</text>`+"\n", plotLeft, top-4, title)
	fmt.Fprintf(out, `<rect x="%d" y="%d" width="%d" height="%d" fill="none" stroke="#cccccc"/>`+"\n", plotLeft, top, plotWidth, plotHeight)
	fmt.Fprintf(out, `<text x="%d" y="%d" text-anchor="end">%.0f</text>`+"\n", plotLeft-6, top+10, maximum)
	for n, curve := range curves {
		var points []string
		for i, e := range r.Timeline {
			x := plotLeft + float64(i)*plotWidth/float64(max(1, len(r.Timeline)-1))
			y := float64(top) + plotHeight*(1-curve.value(e)/maximum)
			points = append(points, fmt.Sprintf("%.1f,%.1f", x, y))
		}
		fmt.Fprintf(out, `<polyline fill="none" stroke="%s" stroke-width="1.5" points="%s"/>`+"\n", curve.color, strings.Join(points, " "))
		fmt.Fprintf(out, `<text x="%d" y="%d" fill="%s">%s</text>`+"\n", plotLeft+8+70*n, top+16, curve.color, curve.name)
	}
}
