// Package settingssource reads the settings of a node from a file.
//
// # Usage
//
//	settings, problems, err := settingssource.Source{}.ReadFile("node.yaml")
package settingssource

import (
	"os"

	"github.com/cockroachdb/errors"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/settingsloader"
)

// Source reads settings.
type Source struct{}

// ReadFile returns the settings in a file with defaults filled in, and all
// problems.
func (Source) ReadFile(name string) (settingsloader.Settings, []settingsloader.Problem, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return settingsloader.Settings{}, nil, errors.Wrap(err, "read the settings; check the name of the file")
	}
	s, problems := settingsloader.Check(data)
	return s, problems, nil
}

// SummaryError returns an Error of KindInvalidSettings in one line, or nil without
// problems.
func SummaryError(name string, problems []settingsloader.Problem) error {
	if len(problems) == 0 {
		return nil
	}
	p := problems[0]
	return cassiatally.NewError(cassiatally.KindInvalidSettings, "%s has %d problems, the first at line %d, column %d: %s: %s; run cassiatally settings check %s to see all",
		name, len(problems), p.Line, p.Column, p.Key, p.Message, name)
}
