// Package sheetpublisher publishes a sheet with the cassiatally program and
// measures the time until it is in force on all nodes.
//
// # Usage
//
//	p := &sheetpublisher.Publisher{Program: "bin/cassiatally", Fleet: fleet}
//	took, err := p.Publish(ctx, "examples/barrier/sheet.csv", 0)
package sheetpublisher

import (
	"context"
	"os/exec"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassiatally/cassiatally/bench/deployer"
	"github.com/cassiatally/cassiatally/cassiatally"
)

// Publisher publishes sheets to a fleet.
type Publisher struct {
	// Program is the path of the cassiatally program.
	Program string
	Fleet   *deployer.Fleet
}

// Publish publishes the sheet as the successor of the version basedOn and returns
// the time from its acceptance until it is in force on all nodes. The time can be
// too long by up to one round of status requests.
func (p *Publisher) Publish(ctx context.Context, file string, basedOn cassiatally.Version) (time.Duration, error) {
	cmd := exec.CommandContext(
		ctx, p.Program, "sheet", "publish", file, "--log", string(p.Fleet.LogAddress),
		"--based-on", strconv.FormatUint(uint64(basedOn), 10), "--publisher", "bench",
	)
	output, err := cmd.CombinedOutput()
	if err != nil {
		return 0, errors.Wrapf(err, "publishing the sheet: %s", output)
	}
	accepted := time.Now()
	err = p.Fleet.WaitSheet(ctx, basedOn+1)
	return time.Since(accepted), err
}
