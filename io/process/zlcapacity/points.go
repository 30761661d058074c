package zlcapacity

import (
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"slices"

	"github.com/rotisserie/eris"

	"zinnialock/core/process/zlfit"
)

// PointsFile is the default name of the file that keeps the points of a run.
const PointsFile = "points.json"

// ReadPoints reads the points in path. A file that does not exist holds none.
func ReadPoints(path string) ([]Point, error) {
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, newReportError("readPoints", err)
	}
	var points []Point
	if err := json.Unmarshal(data, &points); err != nil {
		return nil, newReportError("readPoints", eris.Wrap(err, path))
	}
	return points, nil
}

// AddPoint stores p in path and replaces an older point with the same series
// and x.
func AddPoint(path string, p Point) error {
	points, err := ReadPoints(path)
	if err != nil {
		return err
	}
	points = slices.DeleteFunc(points, func(old Point) bool {
		return old.Series == p.Series && old.X == p.X
	})
	points = append(points, p)
	slices.SortFunc(points, func(a, b Point) int {
		if a.Series != b.Series {
			if a.Series < b.Series {
				return -1
			}
			return 1
		}
		return int(a.X - b.X)
	})
	data, err := json.MarshalIndent(points, "", "  ")
	if err != nil {
		return newReportError("addPoint", err)
	}
	return os.WriteFile(path, append(data, '\n'), 0o600)
}

// Select returns the points of quantity q in one series. Their x is the varied
// value or, if against is not empty, the value of that quantity.
func Select(points []Point, s Series, against, q Quantity) []zlfit.Point {
	var out []zlfit.Point
	for _, p := range points {
		y, ok := p.Values[q]
		if p.Series != s || !ok {
			continue
		}
		x := p.X
		if against != "" {
			x = p.Values[against]
		}
		out = append(out, zlfit.Point{
			X: x,
			Y: y,
		})
	}
	return out
}

func newReportError(op string, err error) error {
	return &Error{
		Op:   op,
		Kind: KindReport,
		Err:  err,
	}
}
