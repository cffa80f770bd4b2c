// Package settingsloader reads the settings of a node from YAML. It refuses
// unknown keys and reports all problems at once, each with its line, its column,
// what is wrong and what would be right. Values carry their units: 250ms, 64MiB.
//
// # Usage
//
//	loader := settingsloader.Loader{File: "node.yaml"}
//	settings, err := loader.Load(data)
//	if err != nil {
//		return err // one line for each problem
//	}
//	fmt.Print(settings.Describe())
//
// The error has KindInvalidSettings. Settings gives the keys and their defaults;
// the folder examples has an annotated file for each deployment.
package settingsloader

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"

	"github.com/cassiatally/cassiatally/cassiatally"
)

// Loader reads settings.
type Loader struct {
	// File is the name that problems are reported under.
	File string
}

// Problem is one fault of a settings file.
type Problem struct {
	Line, Column int
	// Key is the path of the key, such as listen.links.
	Key string
	// Wrong says what is wrong, and Right what would be right.
	Wrong, Right string
}

// Load returns the settings in data with defaults filled in, or an Error of
// KindInvalidSettings with one line for each problem.
func (l Loader) Load(data []byte) (Settings, error) {
	s, problems := Check(data)
	if len(problems) == 0 {
		return s, nil
	}
	lines := make([]string, len(problems))
	for i, p := range problems {
		lines[i] = fmt.Sprintf("%s:%d:%d: %s: %s; %s", l.File, p.Line, p.Column, p.Key, p.Wrong, p.Right)
	}
	return Settings{}, cassiatally.NewError(cassiatally.KindInvalidSettings, "%s", strings.Join(lines, "\n"))
}

// Check returns the settings in data and every problem, in the order of lines.
func Check(data []byte) (Settings, []Problem) {
	r := reader{settings: Defaults(), places: map[string]place{}}
	file, err := parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		r.syntax(err)
		return r.settings, r.problems
	}
	r.file(file)
	r.missing()
	if len(r.problems) == 0 {
		r.derive()
		r.related()
	}
	slices.SortStableFunc(r.problems, func(a, b Problem) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return a.Column - b.Column
	})
	return r.settings, r.problems
}

// place is where a key stands in the file, from 1.
type place struct{ line, column int }

var start = place{1, 1}

func placeOf(t *token.Token) place {
	if t == nil || t.Position == nil || t.Position.Line < 1 {
		return start
	}
	return place{t.Position.Line, max(t.Position.Column, 1)}
}

// reader collects settings and problems while it walks the syntax tree.
type reader struct {
	settings Settings
	places   map[string]place
	problems []Problem
}

func (r *reader) problem(at place, key, wrong, right string) {
	r.problems = append(r.problems, Problem{at.line, at.column, key, wrong, right})
}

func (r *reader) syntax(err error) {
	const right = "correct the YAML at this place"
	var syntax *yaml.SyntaxError
	if errors.As(err, &syntax) {
		r.problem(placeOf(syntax.Token), "file", syntax.Message, right)
		return
	}
	message, _, _ := strings.Cut(err.Error(), "\n")
	r.problem(start, "file", message, right)
}

func (r *reader) file(f *ast.File) {
	for i, doc := range f.Docs {
		if i > 0 {
			r.problem(placeOf(doc.Start), "file", "there is more than one document", "keep one document")
			return
		}
		if doc.Body == nil || doc.Body.Type() == ast.CommentType {
			continue
		}
		r.mapping("", doc.Body)
	}
}

// mapping reads the keys below prefix, which is empty or a section.
func (r *reader) mapping(prefix string, n ast.Node) {
	entries, ok := entriesOf(n)
	if !ok {
		key := strings.TrimSuffix(prefix, ".")
		if key == "" {
			key = "file"
		}
		r.problem(placeOf(n.GetToken()), key, "this is not a list of keys", "write keys: "+strings.Join(keysBelow(prefix), ", "))
		return
	}
	for _, e := range entries {
		r.entry(prefix, e)
	}
}

func entriesOf(n ast.Node) ([]*ast.MappingValueNode, bool) {
	switch n := n.(type) {
	case *ast.MappingNode:
		return n.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}, true
	default:
		return nil, false
	}
}

func (r *reader) entry(prefix string, e *ast.MappingValueNode) {
	t := e.Key.GetToken()
	key, at := prefix+t.Value, placeOf(t)
	known := slices.Contains(keysBelow(prefix), t.Value)
	if !known {
		r.problem(at, key, "this key is unknown", "use one of "+strings.Join(keysBelow(prefix), ", "))
		return
	}
	if first, twice := r.places[key]; twice {
		r.problem(at, key, fmt.Sprintf("the key is already on line %d", first.line), "keep one of them")
		return
	}
	r.places[key] = at
	switch f := fieldAt(key); {
	case key == seedsKey:
		r.seeds(e.Value)
	case f != nil:
		r.value(f, e.Value)
	default:
		r.mapping(key+".", e.Value)
	}
}

func (r *reader) value(f *field, n ast.Node) {
	text, ok := scalar(n)
	wrong, right := f.set(&r.settings, text)
	if !ok {
		// An empty text gives the advice for the kind of value.
		_, right = f.set(&Settings{}, "")
		wrong = "this is not a plain value"
	}
	if wrong != "" {
		r.problem(placeOf(n.GetToken()), f.path, wrong, right)
	}
}

func scalar(n ast.Node) (text string, ok bool) {
	switch n := n.(type) {
	case *ast.StringNode:
		return n.Value, true
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode, *ast.NanNode, *ast.InfinityNode:
		return n.GetToken().Value, true
	default:
		return "", false
	}
}

func (r *reader) seeds(n ast.Node) {
	k := advertisedAddress()
	list, ok := n.(*ast.SequenceNode)
	if !ok {
		r.problem(placeOf(n.GetToken()), seedsKey, "this is not a list", "write a list of addresses, such as [10.1.2.3:7402]")
		return
	}
	for _, v := range list.Values {
		text, _ := scalar(v)
		a, wrong := k.parse(text)
		if wrong != "" {
			r.problem(placeOf(v.GetToken()), seedsKey, wrong, k.right)
			continue
		}
		r.settings.Seeds = append(r.settings.Seeds, a)
	}
}

func (r *reader) missing() {
	for i := range schema {
		f := &schema[i]
		if _, present := r.places[f.path]; present || !f.required {
			continue
		}
		section, _, _ := strings.Cut(f.path, ".")
		at, found := r.places[section]
		if !found {
			at = start
		}
		_, right := f.set(&Settings{}, "")
		r.problem(at, f.path, "this key is required", right)
	}
}

// derive fills in the defaults that other keys determine.
func (r *reader) derive() {
	if r.settings.Advertise.Links == "" && !kernelPort(r.settings.Listen.Links) {
		r.settings.Advertise.Links = r.settings.Listen.Links
	}
}

func (r *reader) related() {
	for _, rel := range relations {
		if rel.holds(&r.settings) {
			continue
		}
		path, at := rel.paths[0], start
		for _, p := range rel.paths {
			if found, present := r.places[p]; present {
				path, at = p, found
				break
			}
		}
		r.problem(at, path, rel.wrong(&r.settings), rel.right)
	}
}

func fieldAt(path string) *field {
	for i := range schema {
		if schema[i].path == path {
			return &schema[i]
		}
	}
	return nil
}

// keysBelow returns the names of the keys of a section, or the top-level keys.
func keysBelow(prefix string) []string {
	var keys []string
	for _, f := range schema {
		rest, ok := strings.CutPrefix(f.path, prefix)
		key, _, _ := strings.Cut(rest, ".")
		if ok && !slices.Contains(keys, key) {
			keys = append(keys, key)
		}
	}
	if prefix == "" {
		keys = append(keys, seedsKey)
	}
	return keys
}
