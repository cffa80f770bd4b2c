// Package settingsloader reads the settings of a node from YAML. It refuses
// unknown keys and reports all problems at once, each with its line, its column,
// what is wrong and how to correct it. Values carry their units: 250ms, 64MiB.
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
// The error has KindInvalidSettings. Type Settings documents the keys and their
// defaults; the folder examples has an annotated file for each deployment.
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

// Loader reads settings from the content of one file.
type Loader struct {
	// File is the file name at the start of each reported problem.
	File string
}

// Problem is one error in a settings file.
type Problem struct {
	Line, Column int
	// Key is the path of the key, such as listen.links.
	Key string
	// Message says what is wrong, and Fix how to correct it.
	Message, Fix string
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
		lines[i] = fmt.Sprintf("%s:%d:%d: %s: %s; %s", l.File, p.Line, p.Column, p.Key, p.Message, p.Fix)
	}
	return Settings{}, cassiatally.NewError(cassiatally.KindInvalidSettings, "%s", strings.Join(lines, "\n"))
}

// Check returns the settings in data and every problem, ordered by line and
// column. The settings are valid only when there is no problem.
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

// position is a line and a column of the file, both from 1.
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

func (r *reader) problem(at place, key, message, fix string) {
	r.problems = append(r.problems, Problem{at.line, at.column, key, message, fix})
}

func (r *reader) syntax(err error) {
	const fix = "correct the YAML at this place"
	var syntax *yaml.SyntaxError
	if errors.As(err, &syntax) {
		r.problem(placeOf(syntax.Token), "file", syntax.Message, fix)
		return
	}
	message, _, _ := strings.Cut(err.Error(), "\n")
	r.problem(start, "file", message, fix)
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

// readMapping reads the keys below prefix, which is empty or a section with a
// full stop.
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
	if first, duplicate := r.places[key]; duplicate {
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
	message, fix := f.set(&r.settings, text)
	if !ok {
		// No value format accepts an empty text, so this returns the fix for the key.
		_, fix = f.set(&Settings{}, "")
		message = "this is not a plain value"
	}
	if message != "" {
		r.problem(placeOf(n.GetToken()), f.path, message, fix)
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
		a, message := k.parse(text)
		if message != "" {
			r.problem(placeOf(v.GetToken()), seedsKey, message, k.right)
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
		_, fix := f.set(&Settings{}, "")
		r.problem(at, f.path, "this key is required", fix)
	}
}

// deriveDefaults fills in the defaults that depend on other keys.
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
