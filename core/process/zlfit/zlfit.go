// Package zlfit fits a straight line through measured points by least squares and
// gives the standard error of its values. It is not for other curves, and does not
// detect outliers.
package zlfit

import (
	"fmt"
	"math"

	"github.com/rotisserie/eris"
)

// Kind classifies an Error.
type Kind string

// KindTooFew means that there are fewer than MinPoints points, or that all
// have the same X.
const KindTooFew Kind = "tooFew"

// Error is the error type of this package: points that no line can be fitted
// through.
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

// MinPoints is the fewest points that Fit accepts.
const MinPoints = 4

// Point is one measurement.
type Point struct {
	X float64
	Y float64
}

// Line is the least-squares line y = Intercept + Slope*x.
type Line struct {
	Intercept float64
	Slope     float64
	// SlopeError is the standard error of Slope.
	SlopeError float64
	// Residual is the standard deviation of the points from the line in y,
	// with len(points)-2 degrees of freedom.
	Residual float64
	// Points is how many points were fitted.
	Points int
	// MeanX is the mean of X, and SquaresX the sum of squared distances from
	// it; StandardError uses them.
	MeanX    float64
	SquaresX float64
}

// Fit returns the least-squares line through the points; the error is an
// *Error.
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
	var squaresX, products float64
	for _, p := range points {
		squaresX += (p.X - meanX) * (p.X - meanX)
		products += (p.X - meanX) * (p.Y - meanY)
	}
	if squaresX == 0 {
		return Line{}, tooFew(1)
	}
	line := Line{
		Slope:    products / squaresX,
		Points:   len(points),
		MeanX:    meanX,
		SquaresX: squaresX,
	}
	line.Intercept = meanY - line.Slope*meanX
	var squares float64
	for _, p := range points {
		residual := p.Y - line.At(p.X)
		squares += residual * residual
	}
	variance := squares / (n - 2)
	line.Residual = math.Sqrt(variance)
	line.SlopeError = math.Sqrt(variance / squaresX)
	return line, nil
}

func tooFew(n int) error {
	return &Error{
		Op:   "fit",
		Kind: KindTooFew,
		Err:  eris.Errorf("got %d distinct points, need at least %d", n, MinPoints),
	}
}

// At returns the line's value at x.
func (l Line) At(x float64) float64 {
	return l.Intercept + l.Slope*x
}

// StandardError returns the standard error of the line's value at x.
func (l Line) StandardError(x float64) float64 {
	distance := x - l.MeanX
	return l.Residual * math.Sqrt(1/float64(l.Points)+distance*distance/l.SquaresX)
}
