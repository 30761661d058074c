package zlconfig

import (
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// parser walks the syntax tree of a settings file. It does not decode into a
// struct, because every fault has to give its row and column, and all faults are
// reported together.
type parser struct {
	file    string
	cfg     *Config
	faults  []Fault
	entries []Entry
	// seen holds the keys that the file sets.
	seen map[string]bool
}

// parse stores the settings of data in p.cfg and collects the faults.
func (p *parser) parse(data []byte) {
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
			p.addFault(at, key, "an array of tables", "a table")
		case unstable.KeyValue:
			if table != "" {
				key = table + "." + key
			}
			p.setKey(key, at, e.Value())
		default:
			// Comments are skipped.
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
	p.addFault(at, "", err.Error(), "TOML")
}

// keyOf returns the dotted key of an expression and where it starts.
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
	p.addFault(at, key, "an unknown table", "one of "+strings.Join(tableNames(), ", "))
}

func (p *parser) addFault(at unstable.Position, key, found, allowed string) {
	p.faults = append(p.faults, Fault{
		File:    p.file,
		Row:     at.Line,
		Column:  at.Column,
		Key:     key,
		Found:   found,
		Allowed: allowed,
	})
}

// setKey checks one key of the file and stores its value.
func (p *parser) setKey(key string, at unstable.Position, value *unstable.Node) {
	f := findField(key)
	if f == nil {
		p.addFault(at, key, "an unknown key", "one of "+strings.Join(candidateKeys(key), ", "))
		return
	}
	if p.seen[key] {
		p.addFault(at, key, "a second value", "one value")
		return
	}
	p.seen[key] = true
	found, ok := p.setValue(f, value)
	if !ok {
		p.addFault(at, key, found, f.allowed)
		return
	}
	p.entries = append(p.entries, Entry{
		Key:    key,
		Value:  found,
		Origin: fmt.Sprintf("%s:%d", p.file, at.Line),
	})
}

// setValue stores a value. It returns the value as text and true, or a description
// of what was found and false if it is not valid.
func (p *parser) setValue(f *field, value *unstable.Node) (string, bool) {
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

// applyDefaults sets the keys that the file leaves out, reports the required ones
// among them as faults, and returns all entries.
func (p *parser) applyDefaults() []Entry {
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
		if f.defaultText != "" {
			f.set(p.cfg, f.defaultText)
		}
		p.entries = append(p.entries, Entry{
			Key:    f.key,
			Value:  f.defaultText,
			Origin: "default",
		})
	}
	return p.entries
}
