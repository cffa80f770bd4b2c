package sheetparser_test

import (
	"os"
	"testing"

	"github.com/matryer/is"
)

// Guards against example sheets that have errors or warnings.
func TestExamples(t *testing.T) {
	for _, file := range []string{"../../examples/barrier/sheet.csv", "../../examples/intake/sheet.yaml"} {
		t.Run(file, func(t *testing.T) {
			is := is.New(t)
			data, err := os.ReadFile(file)
			is.NoErr(err)
			_, report := parse(file, string(data))
			is.Equal(len(report.Problems()), 0)
		})
	}
}
