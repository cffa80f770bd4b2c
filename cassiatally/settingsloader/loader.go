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
	r := reader{settings: Defaults(), positions: map[string]position{}}
	file, err := parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		r.addSyntaxError(err)
		return r.settings, r.problems
	}
	r.readFile(file)
	r.checkRequired()
	if len(r.problems) == 0 {
		r.deriveDefaults()
		r.checkRelations()
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
type position struct{ line, column int }

var fileStart = position{1, 1}

func positionOf(t *token.Token) position {
	if t == nil || t.Position == nil || t.Position.Line < 1 {
		return fileStart
	}
	return position{t.Position.Line, max(t.Position.Column, 1)}
}

// reader collects settings and problems while it walks the syntax tree.
type reader struct {
	settings  Settings
	positions map[string]position
	problems  []Problem
}

func (r *reader) addProblem(at position, key, message, fix string) {
	r.problems = append(r.problems, Problem{at.line, at.column, key, message, fix})
}

func (r *reader) addSyntaxError(err error) {
	const fix = "correct the YAML at this place"
	var syntax *yaml.SyntaxError
	if errors.As(err, &syntax) {
		r.addProblem(positionOf(syntax.Token), "file", syntax.Message, fix)
		return
	}
	message, _, _ := strings.Cut(err.Error(), "\n")
	r.addProblem(fileStart, "file", message, fix)
}

func (r *reader) readFile(f *ast.File) {
	for i, doc := range f.Docs {
		if i > 0 {
			r.addProblem(positionOf(doc.Start), "file", "there is more than one document", "keep one document")
			return
		}
		if doc.Body == nil || doc.Body.Type() == ast.CommentType {
			continue
		}
		r.readMapping("", doc.Body)
	}
}

// readMapping reads the keys below prefix, which is empty or a section with a
// full stop.
func (r *reader) readMapping(prefix string, n ast.Node) {
	entries, ok := mappingEntries(n)
	if !ok {
		key := strings.TrimSuffix(prefix, ".")
		if key == "" {
			key = "file"
		}
		r.addProblem(positionOf(n.GetToken()), key, "this is not a list of keys", "write keys: "+strings.Join(keysBelow(prefix), ", "))
		return
	}
	for _, e := range entries {
		r.readEntry(prefix, e)
	}
}

func mappingEntries(n ast.Node) ([]*ast.MappingValueNode, bool) {
	switch n := n.(type) {
	case *ast.MappingNode:
		return n.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}, true
	default:
		return nil, false
	}
}

func (r *reader) readEntry(prefix string, e *ast.MappingValueNode) {
	t := e.Key.GetToken()
	key, at := prefix+t.Value, positionOf(t)
	known := slices.Contains(keysBelow(prefix), t.Value)
	if !known {
		r.addProblem(at, key, "this key is unknown", "use one of "+strings.Join(keysBelow(prefix), ", "))
		return
	}
	if first, duplicate := r.positions[key]; duplicate {
		r.addProblem(at, key, fmt.Sprintf("the key is already on line %d", first.line), "keep one of them")
		return
	}
	r.positions[key] = at
	switch f := findField(key); {
	case key == seedsKey:
		r.readSeeds(e.Value)
	case f != nil:
		r.readValue(f, e.Value)
	default:
		r.readMapping(key+".", e.Value)
	}
}

func (r *reader) readValue(f *field, n ast.Node) {
	text, ok := scalarText(n)
	message, fix := f.set(&r.settings, text)
	if !ok {
		// No value format accepts an empty text, so this returns the fix for the key.
		_, fix = f.set(&Settings{}, "")
		message = "this is not a plain value"
	}
	if message != "" {
		r.addProblem(positionOf(n.GetToken()), f.path, message, fix)
	}
}

func scalarText(n ast.Node) (text string, ok bool) {
	switch n := n.(type) {
	case *ast.StringNode:
		return n.Value, true
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode, *ast.NanNode, *ast.InfinityNode:
		return n.GetToken().Value, true
	default:
		return "", false
	}
}

func (r *reader) readSeeds(n ast.Node) {
	k := advertisedAddress()
	list, ok := n.(*ast.SequenceNode)
	if !ok {
		r.addProblem(positionOf(n.GetToken()), seedsKey, "this is not a list", "write a list of addresses, such as [10.1.2.3:7402]")
		return
	}
	for _, v := range list.Values {
		text, _ := scalarText(v)
		a, message := k.parse(text)
		if message != "" {
			r.addProblem(positionOf(v.GetToken()), seedsKey, message, k.fix)
			continue
		}
		r.settings.Seeds = append(r.settings.Seeds, a)
	}
}

func (r *reader) checkRequired() {
	for i := range schema {
		f := &schema[i]
		if _, present := r.positions[f.path]; present || !f.required {
			continue
		}
		section, _, _ := strings.Cut(f.path, ".")
		at, found := r.positions[section]
		if !found {
			at = fileStart
		}
		_, fix := f.set(&Settings{}, "")
		r.addProblem(at, f.path, "this key is required", fix)
	}
}

// deriveDefaults fills in the defaults that depend on other keys.
func (r *reader) deriveDefaults() {
	if r.settings.Advertise.Links == "" && !hasKernelPort(r.settings.Listen.Links) {
		r.settings.Advertise.Links = r.settings.Listen.Links
	}
}

func (r *reader) checkRelations() {
	for _, rel := range relations {
		if rel.holds(&r.settings) {
			continue
		}
		path, at := rel.paths[0], fileStart
		for _, p := range rel.paths {
			if found, present := r.positions[p]; present {
				path, at = p, found
				break
			}
		}
		r.addProblem(at, path, rel.message(&r.settings), rel.fix)
	}
}

func findField(path string) *field {
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
