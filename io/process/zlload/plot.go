package zlload

import (
	"image/color"
	"os"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
)

const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 8 * vg.Inch
)

// WritePlot writes a PNG file with two panels: the complementary cumulative
// distribution of the latency, and the latency of each answer over time. It
// fails if points is empty.
func WritePlot(path string, points []Point) error {
	if len(points) == 0 {
		return eris.New("plot: no answers to plot")
	}
	distribution, err := plotDistribution(points)
	if err != nil {
		return eris.Wrap(err, "plot")
	}
	timeline, err := plotTimeline(points)
	if err != nil {
		return eris.Wrap(err, "plot")
	}
	canvas := vgimg.New(plotWidth, plotHeight)
	tiles := draw.Tiles{
		Rows: 2,
		Cols: 1,
		PadY: vg.Points(12),
	}
	panels := [][]*plot.Plot{{distribution}, {timeline}}
	for i, row := range plot.Align(panels, tiles, draw.New(canvas)) {
		panels[i][0].Draw(row[0])
	}
	return writePNG(path, canvas)
}

func writePNG(path string, canvas *vgimg.Canvas) error {
	f, err := os.Create(path)
	if err != nil {
		return eris.Wrap(err, "plot")
	}
	if _, err := (vgimg.PngCanvas{
		Canvas: canvas,
	}).WriteTo(f); err != nil {
		_ = f.Close()
		return eris.Wrap(err, "plot")
	}
	return eris.Wrap(f.Close(), "plot")
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

func plotDistribution(points []Point) (*plot.Plot, error) {
	sorted := make([]float64, len(points))
	for i, p := range points {
		sorted[i] = max(milliseconds(p.Latency), 0.001)
	}
	slices.Sort(sorted)
	n := len(sorted)
	line := make(plotter.XYs, 0, n)
	for i, ms := range sorted {
		line = append(line, plotter.XY{
			X: ms,
			Y: float64(n-i) / float64(n),
		})
	}
	p := plot.New()
	p.Title.Text = "Latency distribution"
	p.X.Label.Text = "latency, ms"
	p.Y.Label.Text = "fraction of answers at least as slow"
	p.X.Scale = plot.LogScale{}
	p.Y.Scale = plot.LogScale{}
	p.X.Tick.Marker = plot.LogTicks{
		Prec: -1,
	}
	p.Y.Tick.Marker = plot.LogTicks{
		Prec: -1,
	}
	curve, err := plotter.NewLine(line)
	if err != nil {
		return nil, err
	}
	p.Add(plotter.NewGrid(), curve)
	if sorted[0] == sorted[n-1] {
		p.X.Max = 2 * sorted[0]
	}
	if n == 1 {
		p.Y.Min = 0.1
	}
	return p, nil
}

func plotTimeline(points []Point) (*plot.Plot, error) {
	var complete, partial plotter.XYs
	for _, point := range points {
		xy := plotter.XY{
			X: point.At.Seconds(),
			Y: milliseconds(point.Latency),
		}
		if point.Coverage < 1 {
			partial = append(partial, xy)
		} else {
			complete = append(complete, xy)
		}
	}
	p := plot.New()
	p.Title.Text = "Latency over time: complete answers grey, partial answers red"
	p.X.Label.Text = "intended send time, s"
	p.Y.Label.Text = "latency, ms"
	p.Y.Min = 0
	p.Add(plotter.NewGrid())
	for _, group := range []struct {
		points plotter.XYs
		color  color.Color
	}{
		{
			points: complete,
			color:  color.Gray{Y: 90},
		},
		{
			points: partial,
			color:  color.RGBA{R: 200, A: 255},
		},
	} {
		if len(group.points) == 0 {
			continue
		}
		scatter, err := plotter.NewScatter(group.points)
		if err != nil {
			return nil, err
		}
		scatter.Color = group.color
		scatter.Radius = vg.Points(1.5)
		p.Add(scatter)
	}
	return p, nil
}
