package zlcapacity

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 14 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// plotFit writes a PNG file with the points and the fitted line over the
// measured range.
func plotFit(f *fit, path string) error {
	p := plot.New()
	p.Title.Text = f.Title
	p.X.Label.Text = string(f.Series)
	p.Y.Label.Text = f.Unit
	p.Add(plotter.NewGrid())
	points := make(plotter.XYs, 0, len(f.points))
	for _, point := range f.points {
		points = append(points, plotter.XY{
			X: point.X,
			Y: point.Y * f.Scale,
		})
	}
	dots, err := plotter.NewScatter(points)
	if err != nil {
		return newReportError("plot", err)
	}
	line := plotter.NewFunction(func(x float64) float64 {
		return f.line.At(x) * f.Scale
	})
	p.Add(dots, line)
	p.Y.Min = min(p.Y.Min, 0)
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return newReportError("plot", err)
	}
	return nil
}
