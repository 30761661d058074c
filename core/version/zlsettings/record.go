package zlsettings

import (
	"encoding/json"
	"strconv"

	"zinnialock/core/process/zlunit"
	"zinnialock/core/version/zlhistory"
)

var _ zlhistory.Record = (*Tree)(nil)

// Value implements zlhistory.Record.
func (t *Tree) Value(p zlhistory.FieldPath) any {
	value, ok := t.Nodes[Path(p.Path)][Key(p.Key)]
	if !ok {
		return nil
	}
	return value
}

// Set implements zlhistory.Record.
func (t *Tree) Set(c zlhistory.Change, _ *zlhistory.Entry) {
	path := Path(c.Path)
	if c.New == nil {
		delete(t.Nodes[path], Key(c.Key))
		if len(t.Nodes[path]) == 0 {
			delete(t.Nodes, path)
		}
		return
	}
	if t.Nodes == nil {
		t.Nodes = map[Path]Node{}
	}
	if t.Nodes[path] == nil {
		t.Nodes[path] = Node{}
	}
	t.Nodes[path][Key(c.Key)] = c.New
}

// Places implements zlhistory.Record.
func (t *Tree) Places() []zlhistory.FieldPath {
	var out []zlhistory.FieldPath
	for path, node := range t.Nodes {
		for key := range node {
			out = append(out, zlhistory.FieldPath{
				Path: string(path),
				Key:  string(key),
			})
		}
	}
	return out
}

// Parse parses the value of a key from text: a number, or the text itself if the key
// takes a duration or the text is not a number. It does not check the value.
func Parse(key Key, text string) any {
	s, known := specs[key]
	n, err := strconv.ParseFloat(text, 64)
	if err != nil || known && s.kind == kindDuration {
		return text
	}
	return n
}

// newPlace returns the place of a path's parts, of which there must be maxDepth.
func newPlace(parts []string) Place {
	return Place{
		Deployment: zlunit.Deployment(parts[0]),
		DataCentre: zlunit.DataCentre(parts[1]),
		Service:    zlunit.Service(parts[2]),
		Kind:       zlunit.QueryKind(parts[3]),
	}
}

// Read decodes a tree without checking it, for tools that show or repair an invalid one.
// Empty data means an empty tree. The error is an *Error.
func Read(data []byte) (*Tree, error) {
	var t Tree
	if len(data) == 0 {
		return &t, nil
	}
	if err := json.Unmarshal(data, &t); err != nil {
		return nil, &Error{
			Op:   "read",
			Kind: KindDecode,
			Err:  err,
		}
	}
	return &t, nil
}
