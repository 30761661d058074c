package zlcapacity

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"

	"zinnialock/core/process/zlfit"
)

// The markers around the generated part of the page.
const (
	beginMarker = "<!-- generated: begin -->"
	endMarker   = "<!-- generated: end -->"
)

// fit is a slope with its points and the line fitted through them.
type fit struct {
	Slope
	points []zlfit.Point
	line   zlfit.Line
}

// at returns the line's value and its standard error at x, in the slope's unit.
func (f *fit) at(x float64) (value, stdErr float64) {
	return f.line.At(x) * f.Scale, f.line.StandardError(x) * f.Scale
}

// Report fits all slopes, writes a plot of each beside pointsFile and replaces
// the generated part of page. Slopes that cannot be fitted are listed on the
// page.
func Report(pointsFile, page string) error {
	points, err := ReadPoints(pointsFile)
	if err != nil {
		return err
	}
	lines := map[Series]map[Quantity]*fit{}
	var ordered []*fit
	var failed []string
	for _, s := range slopes {
		f := &fit{
			Slope:  s,
			points: Select(points, s.Series, s.Against, s.Quantity),
		}
		if f.line, err = zlfit.Fit(f.points); err != nil {
			failed = append(failed, fmt.Sprintf("%s: %v", s.Title, err))
			continue
		}
		if lines[s.Series] == nil {
			lines[s.Series] = map[Quantity]*fit{}
		}
		lines[s.Series][s.Quantity] = f
		ordered = append(ordered, f)
		if err := plotFit(f, filepath.Join(filepath.Dir(pointsFile), plotName(f))); err != nil {
			return err
		}
	}
	text := slopeTable(ordered) + limitTable(lines)
	if len(failed) > 0 {
		text += "\nNot fitted: " + strings.Join(failed, "; ") + "\n"
	}
	return rewritePage(page, text)
}

func plotName(f *fit) string {
	return fmt.Sprintf("%s-%s.png", f.Series, f.Quantity)
}

// slopeTable returns the table of fitted lines as Markdown.
func slopeTable(ordered []*fit) string {
	var b strings.Builder
	b.WriteString("### Fitted lines\n\n")
	b.WriteString("| what | points (x: y) | line | standard error of the slope | at | value | error there |\n")
	b.WriteString("|---|---|---|---|---|---|---|\n")
	for _, f := range ordered {
		value, stdErr := f.at(f.Target)
		fmt.Fprintf(&b, "| [%s](capacity/%s) | %s | %.4g + %.4g·x %s | %.2g | %.4g | %.4g %s | ± %.2g |\n",
			f.Title, plotName(f), pointsText(f), f.line.Intercept*f.Scale, f.line.Slope*f.Scale, f.Unit,
			f.line.SlopeError*f.Scale, f.Target, value, f.Unit, stdErr)
	}
	return b.String()
}

func pointsText(f *fit) string {
	parts := make([]string, 0, len(f.points))
	for _, p := range f.points {
		parts = append(parts, fmt.Sprintf("%.4g: %.4g", p.X, p.Y*f.Scale))
	}
	return strings.Join(parts, ", ")
}

// rewritePage replaces the part of a page between the markers.
func rewritePage(page, text string) error {
	data, err := os.ReadFile(page)
	if err != nil {
		return newReportError("rewrite", err)
	}
	head, rest, ok := strings.Cut(string(data), beginMarker)
	if !ok {
		return newReportError("rewrite", eris.Errorf("%s: marker %s is missing", page, beginMarker))
	}
	_, tail, ok := strings.Cut(rest, endMarker)
	if !ok {
		return newReportError("rewrite", eris.Errorf("%s: marker %s is missing", page, endMarker))
	}
	out := head + beginMarker + "\n\n" + text + "\n" + endMarker + tail
	if err := os.WriteFile(page, []byte(out), 0o600); err != nil {
		return newReportError("rewrite", err)
	}
	return nil
}
