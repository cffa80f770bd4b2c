package sheetparser

import (
	"fmt"

	"github.com/cassiatally/cassiatally/cassiatally"
	"github.com/cassiatally/cassiatally/cassiatally/sheet"
)

const (
	// maxShares bounds the sum of the shares of all ranks but the most urgent.
	maxShares cassiatally.Share = 1
	// warnShares is the sum above which the most urgent rank is left with less than
	// half of the capacity under overload.
	warnShares cassiatally.Share = 0.5
	// shareTolerance absorbs the rounding of decimal fractions in a sum.
	shareTolerance cassiatally.Share = 1e-9
)

func (p *Parser) checkRows(rows []parsedRow) {
	p.checkIdempotent(rows)
	p.checkShares(rows)
	if len(p.report.Errors) == 0 {
		p.checkCoverage(rows)
	}
}

func (p *Parser) checkIdempotent(rows []parsedRow) {
	first := map[sheet.KindRef]parsedRow{}
	for _, r := range rows {
		f, seen := first[r.Kind]
		if !seen {
			first[r.Kind] = r
			continue
		}
		if f.Idempotent != r.Idempotent {
			p.addError(r.raw.position(sheet.ColumnIdempotent), sheet.ColumnIdempotent,
				fmt.Sprintf("%s is %t here and %t in line %d", r.Kind, r.Idempotent, f.Idempotent, f.raw.at.Line),
				"write the same value in all rows of the kind")
		}
	}
}

func (p *Parser) checkShares(rows []parsedRow) {
	var first [cassiatally.MaxRanks]*parsedRow
	var sum cassiatally.Share
	var last Position
	for i := range rows {
		r := &rows[i]
		f := first[r.Rank]
		if f != nil {
			p.checkSameShare(r, f)
			continue
		}
		first[r.Rank] = r
		if r.Rank > 0 && r.Share > 0 {
			sum += r.Share
			last = r.raw.position(sheet.ColumnShare)
		}
	}
	p.checkShareSum(last, sum)
}

func (p *Parser) checkSameShare(r, first *parsedRow) {
	if r.Share == first.Share {
		return
	}
	p.addError(r.raw.position(sheet.ColumnShare), sheet.ColumnShare,
		fmt.Sprintf("rank %d has share %s here and %s in line %d", r.Rank, r.Field(sheet.ColumnShare), first.Field(sheet.ColumnShare), first.raw.at.Line),
		"write the same share in all rows of the rank")
}

func (p *Parser) checkShareSum(at Position, sum cassiatally.Share) {
	message := fmt.Sprintf("the shares of the ranks from 1 on add up to %.4g", float64(sum))
	switch {
	case sum > maxShares+shareTolerance:
		p.addError(at, sheet.ColumnShare, message, "lower them to at most 1 in all")
	case sum > warnShares+shareTolerance:
		p.addWarning(at, sheet.ColumnShare, message, "at most 0.5 leaves the most urgent rank half of the capacity")
	}
}
