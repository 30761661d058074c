package zlconfig

import (
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// parser walks the syntax tree itself, since a fault of any kind must name its
// row and column and all faults are wanted at once.
type parser struct {
	file    string
	cfg     *Config
	faults  []Fault
	entries []Entry
	seen    map[string]bool
}

func (p *parser) read(data []byte) {
	var tree unstable.Parser
	tree.Reset(data)
	table := ""
	for tree.NextExpression() {
		e := tree.Expression()
		key, at := keyOf(&tree, e)
		switch e.Kind {
		case unstable.Table:
			table = key
			p.checkTable(key, at)
		case unstable.ArrayTable:
			table = key
			p.fault(at, key, "an array of tables", "a table")
		case unstable.KeyValue:
			if table != "" {
				key = table + "." + key
			}
			p.take(key, at, e.Value())
		default:
			// Comments need no reading.
		}
	}
	if err := tree.Error(); err != nil {
		p.syntaxFault(&tree, err)
	}
}

func (p *parser) syntaxFault(tree *unstable.Parser, err error) {
	at := unstable.Position{
		Line:   1,
		Column: 1,
	}
	var syntax *unstable.ParserError
	if errors.As(err, &syntax) && len(syntax.Highlight) > 0 {
		at = tree.Shape(tree.Range(syntax.Highlight)).Start
	}
	p.fault(at, "", err.Error(), "TOML")
}

func keyOf(tree *unstable.Parser, e *unstable.Node) (string, unstable.Position) {
	var parts []string
	at := unstable.Position{
		Line:   1,
		Column: 1,
	}
	it := e.Key()
	for it.Next() {
		n := it.Node()
		if len(parts) == 0 {
			at = tree.Shape(n.Raw).Start
		}
		parts = append(parts, string(n.Data))
	}
	return strings.Join(parts, "."), at
}

func (p *parser) checkTable(key string, at unstable.Position) {
	for _, f := range fields {
		if strings.HasPrefix(f.key, key+".") {
			return
		}
	}
	p.fault(at, key, "an unknown table", "one of "+strings.Join(tables(), ", "))
}

func (p *parser) fault(at unstable.Position, key, found, allowed string) {
	p.faults = append(p.faults, Fault{
		File:    p.file,
		Row:     at.Line,
		Column:  at.Column,
		Key:     key,
		Found:   found,
		Allowed: allowed,
	})
}

func (p *parser) take(key string, at unstable.Position, value *unstable.Node) {
	f := findField(key)
	if f == nil {
		p.fault(at, key, "an unknown key", "one of "+strings.Join(near(key), ", "))
		return
	}
	if p.seen[key] {
		p.fault(at, key, "a second value", "one value")
		return
	}
	p.seen[key] = true
	found, ok := p.set(f, value)
	if !ok {
		p.fault(at, key, found, f.allowed)
		return
	}
	p.entries = append(p.entries, Entry{
		Key:    key,
		Value:  found,
		Origin: fmt.Sprintf("%s:%d", p.file, at.Line),
	})
}

// set stores a value and returns it as text, and whether it was allowed.
func (p *parser) set(f *field, value *unstable.Node) (string, bool) {
	if value.Kind == unstable.Array {
		return p.setList(f, value)
	}
	text := string(value.Data)
	found := fmt.Sprintf("%s %q", strings.ToLower(value.Kind.String()), text)
	if f.list || value.Kind != unstable.String {
		return found, false
	}
	if !f.set(p.cfg, text) {
		return found, false
	}
	return text, true
}

func (p *parser) setList(f *field, value *unstable.Node) (string, bool) {
	if !f.list {
		return "an array", false
	}
	var texts []string
	it := value.Children()
	for it.Next() {
		n := it.Node()
		text := string(n.Data)
		if n.Kind != unstable.String || !f.set(p.cfg, text) {
			return fmt.Sprintf("%s %q", strings.ToLower(n.Kind.String()), text), false
		}
		texts = append(texts, text)
	}
	return strings.Join(texts, ", "), true
}

// complete fills in what the file left out and returns all entries.
func (p *parser) complete() []Entry {
	for i := range fields {
		f := &fields[i]
		if p.seen[f.key] {
			continue
		}
		if f.required {
			p.faults = append(p.faults, Fault{
				File:    p.file,
				Row:     1,
				Column:  1,
				Key:     f.key,
				Found:   "nothing",
				Allowed: f.allowed,
			})
			continue
		}
		if f.fallback != "" {
			f.set(p.cfg, f.fallback)
		}
		p.entries = append(p.entries, Entry{
			Key:    f.key,
			Value:  f.fallback,
			Origin: "default",
		})
	}
	return p.entries
}
