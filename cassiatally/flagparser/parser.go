// Package flagparser parses the arguments of one command with flaggy and returns
// usage errors to the caller.
//
// By default flaggy reports most usage errors by printing help to the standard
// error and exiting the process. The package makes flaggy panic instead of exiting,
// gives it a help template that prints nothing and captures the message, and
// converts the panic to an Error of KindUsage.
//
// # Usage
//
//	p := flagparser.New("cassiatally sheet check")
//	p.Positional(&file, "FILE", "the sheet", true)
//	p.Flags.Bool(&json, "", "json", "print JSON")
//	help, err := p.Parse(args)
package flagparser

import (
	"fmt"
	"strings"
	"sync"
	"text/template"

	"github.com/integrii/flaggy"

	"github.com/cassiatally/cassiatally/cassiatally"
)

func init() {
	// The setting is global to flaggy, so it is set once and never changed.
	flaggy.PanicInsteadOfExit = true
}

// flaggyMu guards the package-level state of flaggy.
var flaggyMu sync.Mutex

// Parser parses the arguments of one command. It can be used once.
type Parser struct {
	// Flags is where the command adds its flags.
	Flags *flaggy.Parser

	message         string
	help            bool
	positionalCount int
}

// New returns a parser for the command, such as "cassiatally sheet check". It has
// the flag --help.
func New(command string) *Parser {
	p := &Parser{Flags: flaggy.NewParser(command)}
	p.Flags.ShowHelpWithHFlag = false
	p.Flags.ShowVersionWithVersionFlag = false
	p.Flags.ShowCompletion = false
	p.Flags.HelpTemplate = template.Must(template.New("help").
		Funcs(template.FuncMap{"keep": p.captureMessage}).
		Parse("{{keep .Message}}"))
	p.Flags.Bool(&p.help, "h", "help", "show this help")
	return p
}

func (p *Parser) captureMessage(message string) string {
	p.message = message
	return ""
}

// Positional adds the next positional argument.
func (p *Parser) Positional(value *string, name, description string, required bool) {
	p.positionalCount++
	p.Flags.AddPositionalValue(value, name, p.positionalCount, false, description)
	// The argument is optional for flaggy, which would otherwise refuse --help
	// without it. Parse checks that the arguments that are not Hidden are given.
	p.Flags.PositionalFlags[len(p.Flags.PositionalFlags)-1].Hidden = !required
}

// Parse sets the flags and arguments and reports whether --help was given.
func (p *Parser) Parse(args []string) (help bool, err error) {
	flaggyMu.Lock()
	defer flaggyMu.Unlock()
	defer func() {
		if r := recover(); r != nil {
			help, err = false, p.usageError(fmt.Sprint(r))
		}
	}()
	if err := p.Flags.ParseArgs(args); err != nil {
		return false, p.usageError(err.Error())
	}
	if p.help {
		return true, nil
	}
	if len(p.Flags.TrailingArguments) > 0 {
		return false, p.usageError("unexpected arguments after --: " + strings.Join(p.Flags.TrailingArguments, " "))
	}
	for _, v := range p.Flags.PositionalFlags {
		if !v.Found && !v.Hidden {
			return false, p.usageError("the argument " + v.Name + " is missing")
		}
	}
	return false, nil
}

// usageError returns an Error of KindUsage. It prefers the message that flaggy
// passed to the help template to that of its panic.
func (p *Parser) usageError(message string) error {
	if p.message != "" {
		message = p.message
	}
	return cassiatally.NewError(cassiatally.KindUsage, "%s; see %s --help", strings.TrimSpace(message), p.Flags.Name)
}

// Describe returns one line for each flag.
func (p *Parser) Describe() string {
	var b strings.Builder
	for _, f := range p.Flags.Flags {
		name := "--" + f.LongName
		if f.ShortName != "" {
			name = "-" + f.ShortName + ", " + name
		}
		fmt.Fprintf(&b, "  %-16s %s\n", name, f.Description)
	}
	return b.String()
}
