package replay

import (
	"fmt"
	"io"
	"strings"
)

const (
	plotWidth  = 720
	plotHeight = 150
	plotGap    = 40
	plotLeft   = 60
)

// line is one line of a panel.
type line struct {
	name   string
	colour string
	value  func(Course) float64
}

// Plot writes the report's course over time as an SVG: the mix, the goodput
// and the roles.
func Plot(out io.Writer, r *Report) {
	panels := []struct {
		title string
		lines []line
	}{
		{"prompt and answer tokens that came, per second", []line{
			{"prompt", "#b4552d", func(c Course) float64 { return c.Prompt / bucket.Seconds() }},
			{"answer", "#2d6fb4", func(c Course) float64 { return c.Answer / bucket.Seconds() }},
		}},
		{"requests that came and that were answered within their limits, per second", []line{
			{"came", "#888888", func(c Course) float64 { return float64(c.Offered) / bucket.Seconds() }},
			{"good", "#2d8f4e", func(c Course) float64 { return float64(c.Good) / bucket.Seconds() }},
		}},
		{"engines that take long prompts", []line{
			{"prefill", "#7a3db8", func(c Course) float64 { return float64(c.Prefill) }},
		}},
	}
	height := len(panels)*(plotHeight+plotGap) + plotGap
	fmt.Fprintf(out, `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 %d %d" font-family="sans-serif" font-size="12">`+"\n", plotWidth+plotLeft+20, height)
	fmt.Fprintf(out, `<text x="%d" y="18" font-size="14">%s, seed %d: routing %s, roles %s</text>`+"\n", plotLeft, r.Trace, r.Seed, r.Routing, r.Roles)
	for i, panel := range panels {
		plotPanel(out, r, plotGap+i*(plotHeight+plotGap), panel.title, panel.lines)
	}
	fmt.Fprintln(out, "</svg>")
}

func plotPanel(out io.Writer, r *Report, top int, title string, lines []line) {
	most := 1.0
	for _, l := range lines {
		for _, c := range r.Course {
			most = max(most, l.value(c))
		}
	}
	fmt.Fprintf(out, `<text x="%d" y="%d">%s</text>`+"\n", plotLeft, top-4, title)
	fmt.Fprintf(out, `<rect x="%d" y="%d" width="%d" height="%d" fill="none" stroke="#cccccc"/>`+"\n", plotLeft, top, plotWidth, plotHeight)
	fmt.Fprintf(out, `<text x="%d" y="%d" text-anchor="end">%.0f</text>`+"\n", plotLeft-6, top+10, most)
	for n, l := range lines {
		var points []string
		for i, c := range r.Course {
			x := plotLeft + float64(i)*plotWidth/float64(max(1, len(r.Course)-1))
			y := float64(top) + plotHeight*(1-l.value(c)/most)
			points = append(points, fmt.Sprintf("%.1f,%.1f", x, y))
		}
		fmt.Fprintf(out, `<polyline fill="none" stroke="%s" stroke-width="1.5" points="%s"/>`+"\n", l.colour, strings.Join(points, " "))
		fmt.Fprintf(out, `<text x="%d" y="%d" fill="%s">%s</text>`+"\n", plotLeft+8+70*n, top+16, l.colour, l.name)
	}
}
