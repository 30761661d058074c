package zlcapacity

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"

	"zinnialock/core/process/zlfit"
)

// The marks between which a page's generated part stands.
const (
	markBegin = "<!-- generated: begin -->"
	markEnd   = "<!-- generated: end -->"
)

// fitted is a slope with the line through its points.
type fitted struct {
	Slope
	points []zlfit.Point
	line   zlfit.Line
}

// at returns the line's value and band at x, in the slope's unit.
func (f *fitted) at(x float64) (value, band float64) {
	return f.line.At(x) * f.Scale, f.line.StandardError(x) * f.Scale
}

// Report fits all slopes, plots them beside the points and rewrites the
// generated part of page.
func Report(pointsFile, page string) error {
	points, err := ReadPoints(pointsFile)
	if err != nil {
		return err
	}
	lines := map[Series]map[Quantity]*fitted{}
	var order []*fitted
	var failed []string
	for _, s := range slopes {
		f := &fitted{
			Slope:  s,
			points: Select(points, s.Series, s.Against, s.Quantity),
		}
		if f.line, err = zlfit.Fit(f.points); err != nil {
			failed = append(failed, fmt.Sprintf("%s: %v", s.Title, err))
			continue
		}
		if lines[s.Series] == nil {
			lines[s.Series] = map[Quantity]*fitted{}
		}
		lines[s.Series][s.Quantity] = f
		order = append(order, f)
		if err := plotSlope(f, filepath.Join(filepath.Dir(pointsFile), plotName(f))); err != nil {
			return err
		}
	}
	text := slopeTable(order) + limitTable(lines)
	if len(failed) > 0 {
		text += "\nNot fitted: " + strings.Join(failed, "; ") + "\n"
	}
	return rewrite(page, text)
}

func plotName(f *fitted) string {
	return fmt.Sprintf("%s-%s.png", f.Series, f.Quantity)
}

func slopeTable(order []*fitted) string {
	var b strings.Builder
	b.WriteString("### Fitted lines\n\n")
	b.WriteString("| what | points (x: y) | line | standard error of the slope | at | value | error there |\n")
	b.WriteString("|---|---|---|---|---|---|---|\n")
	for _, f := range order {
		value, band := f.at(f.Target)
		fmt.Fprintf(&b, "| [%s](capacity/%s) | %s | %.4g + %.4g·x %s | %.2g | %.4g | %.4g %s | ± %.2g |\n",
			f.Title, plotName(f), pointsText(f), f.line.Intercept*f.Scale, f.line.Slope*f.Scale, f.Unit,
			f.line.SlopeError*f.Scale, f.Target, value, f.Unit, band)
	}
	return b.String()
}

func pointsText(f *fitted) string {
	parts := make([]string, 0, len(f.points))
	for _, p := range f.points {
		parts = append(parts, fmt.Sprintf("%.4g: %.4g", p.X, p.Y*f.Scale))
	}
	return strings.Join(parts, ", ")
}

// rewrite replaces the generated part of a page.
func rewrite(page, text string) error {
	data, err := os.ReadFile(page)
	if err != nil {
		return reportError("rewrite", err)
	}
	head, rest, ok := strings.Cut(string(data), markBegin)
	if !ok {
		return reportError("rewrite", eris.Errorf("%s: no %s", page, markBegin))
	}
	_, tail, ok := strings.Cut(rest, markEnd)
	if !ok {
		return reportError("rewrite", eris.Errorf("%s: no %s", page, markEnd))
	}
	out := head + markBegin + "\n\n" + text + "\n" + markEnd + tail
	if err := os.WriteFile(page, []byte(out), 0o600); err != nil {
		return reportError("rewrite", err)
	}
	return nil
}
