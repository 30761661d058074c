// Package zlfit fits straight lines through measured points.
package zlfit

import (
	"fmt"
	"math"

	"github.com/rotisserie/eris"
)

// Kind classifies an Error.
type Kind string

// KindTooFew tells that there are not enough points, or all at one place.
const KindTooFew Kind = "tooFew"

// Error reports points that no line can be fitted through.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("zlfit: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// MinPoints is the fewest points that Fit takes.
const MinPoints = 4

// Point is one measurement.
type Point struct {
	X float64
	Y float64
}

// Line is y = Base + Slope*x, by least squares.
type Line struct {
	Base  float64
	Slope float64
	// Error is the standard error of the slope.
	Error float64
	// Residual is the root of the mean squared residual.
	Residual float64
	Points   int
	// Center and Spread describe the places of the points, for Band.
	Center float64
	Spread float64
}

// Fit returns the least-squares line; the error is an *Error.
func Fit(points []Point) (Line, error) {
	n := float64(len(points))
	if len(points) < MinPoints {
		return Line{}, tooFew(len(points))
	}
	var meanX, meanY float64
	for _, p := range points {
		meanX += p.X / n
		meanY += p.Y / n
	}
	var xx, xy float64
	for _, p := range points {
		xx += (p.X - meanX) * (p.X - meanX)
		xy += (p.X - meanX) * (p.Y - meanY)
	}
	if xx == 0 {
		return Line{}, tooFew(1)
	}
	line := Line{
		Slope:  xy / xx,
		Points: len(points),
		Center: meanX,
		Spread: xx,
	}
	line.Base = meanY - line.Slope*meanX
	var squares float64
	for _, p := range points {
		r := p.Y - line.At(p.X)
		squares += r * r
	}
	variance := squares / (n - 2)
	line.Residual = math.Sqrt(variance)
	line.Error = math.Sqrt(variance / xx)
	return line, nil
}

func tooFew(n int) error {
	return &Error{
		Op:   "fit",
		Kind: KindTooFew,
		Err:  eris.Errorf("found %d different points, allowed are %d or more", n, MinPoints),
	}
}

// At returns the line's value at x.
func (l Line) At(x float64) float64 {
	return l.Base + l.Slope*x
}

// Band returns the standard error of the line's value at x.
func (l Line) Band(x float64) float64 {
	d := x - l.Center
	return l.Residual * math.Sqrt(1/float64(l.Points)+d*d/l.Spread)
}
