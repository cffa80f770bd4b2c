package measurer

import "math"

// ID names a measure.
type ID string

// The measures.
const (
	Goodput08          ID = "goodput_0.8"
	Goodput15          ID = "goodput_1.5"
	Goodput3           ID = "goodput_3"
	Goodput6           ID = "goodput_6"
	GoodputMeasured    ID = "goodput_measured"
	GoodputUnequal     ID = "goodput_unequal"
	UrgentOverload     ID = "urgent_overload"
	UrgentFlood        ID = "urgent_flood"
	OthersFlood        ID = "others_flood"
	ShareRank1         ID = "share_rank_1"
	ShareRank2         ID = "share_rank_2"
	ShareRank3         ID = "share_rank_3"
	BackSurge          ID = "back_surge"
	BackSlow           ID = "back_slow"
	BackLost           ID = "back_lost"
	StaysSurge         ID = "stays_surge"
	StaysSlow          ID = "stays_slow"
	StaysLost          ID = "stays_lost"
	ExecutionsOverload ID = "executions_overload"
	ExecutionsSlow     ID = "executions_slow"
	WasteOverload      ID = "waste_overload"
	WasteSlow          ID = "waste_slow"
	AddedP50           ID = "added_p50"
	AddedP99           ID = "added_p99"
	ControlRest        ID = "control_rest"
	ControlBusy        ID = "control_busy"
	ProcessorRest      ID = "processor_rest"
	ProcessorBusy      ID = "processor_busy"
	MemoryRest         ID = "memory_rest"
	MemoryBusy         ID = "memory_busy"
	SheetInForce       ID = "sheet_in_force"
)

// Bound is the side of a target on which a result has to be.
type Bound uint8

// The bounds.
const (
	// NoTarget marks measures that are only printed for information.
	NoTarget Bound = iota
	AtLeast
	AtMost
)

// Definition describes a measure. The targets are those of section 2.3 of
// docs/design.md.
type Definition struct {
	ID     ID
	Title  string
	Unit   string
	Bound  Bound
	Target float64
}

// Met reports whether a result meets the target. A missing result (NaN) does not.
func (d Definition) Met(n float64) bool {
	switch {
	case math.IsNaN(n):
		return false
	case d.Bound == AtLeast:
		return n >= d.Target
	case d.Bound == AtMost:
		return n <= d.Target
	}
	return true
}

const (
	goodputTarget             = 0.95
	urgentTarget              = 0.999
	shareTarget               = 0.95
	recoveryTargetSeconds     = 2
	executionsTarget          = 1.10
	wasteTarget               = 0.03
	addedTargetMS             = 1.7
	controlTargetKiBPerSecond = 16
	processorTargetCores      = 0.012
	memoryTargetMiB           = 64
	sheetTargetSeconds        = 2
)

// Definitions returns all measures in the order in which they are printed.
func Definitions() []Definition {
	return []Definition{
		{Goodput08, "goodput at 0.8 of capacity, over capacity", "", NoTarget, 0},
		{Goodput15, "goodput at 1.5 times capacity, over capacity", "", AtLeast, goodputTarget},
		{Goodput3, "goodput at 3 times capacity, over capacity", "", AtLeast, goodputTarget},
		{Goodput6, "goodput at 6 times capacity, over capacity", "", AtLeast, goodputTarget},
		{GoodputMeasured, "least goodput at 1.5 to 6 times, over measured capacity", "", AtLeast, goodputTarget},
		{GoodputUnequal, "goodput at 1.5 times, endpoints of unequal speed", "", AtLeast, goodputTarget},
		{UrgentOverload, "urgent requests in time, 1.5 to 6 times capacity", "", AtLeast, urgentTarget},
		{UrgentFlood, "urgent requests in time, flood of the least urgent", "", AtLeast, urgentTarget},
		{OthersFlood, "all but the flooding rank in time, flood of the least urgent", "", NoTarget, 0},
		{ShareRank1, "share kept by rank 1 over the stated one, flood of the most urgent", "", AtLeast, shareTarget},
		{ShareRank2, "share kept by rank 2 over the stated one, flood of the most urgent", "", AtLeast, shareTarget},
		{ShareRank3, "share kept by rank 3 over the stated one, flood of the most urgent", "", AtLeast, shareTarget},
		{BackSurge, "time back at 95% after a surge", "s", AtMost, recoveryTargetSeconds},
		{BackSlow, "time back at 95% after a slow-down", "s", AtMost, recoveryTargetSeconds},
		{BackLost, "time back at 95% after a data centre is lost", "s", NoTarget, 0},
		{StaysSurge, "time until it stays at 95% after a surge", "s", NoTarget, 0},
		{StaysSlow, "time until it stays at 95% after a slow-down", "s", NoTarget, 0},
		{StaysLost, "time until it stays at 95% after a data centre is lost", "s", NoTarget, 0},
		{ExecutionsOverload, "executions per request at the deepest service, demand", "", AtMost, executionsTarget},
		{ExecutionsSlow, "executions per request at the deepest service, slow-down", "", AtMost, executionsTarget},
		{WasteOverload, "work for failed requests over all work, demand", "", AtMost, wasteTarget},
		{WasteSlow, "work for failed requests over all work, slow-down", "", AtMost, wasteTarget},
		{AddedP50, "time added by two nodes at 0.5 load, p50", "ms", NoTarget, 0},
		{AddedP99, "time added by two nodes at 0.5 load, p99", "ms", AtMost, addedTargetMS},
		{ControlRest, "control traffic of a node at rest", "KiB/s", AtMost, controlTargetKiBPerSecond},
		{ControlBusy, "control traffic of a node at 0.5 load", "KiB/s", AtMost, controlTargetKiBPerSecond},
		{ProcessorRest, "processor of a node at rest, part of a core", "", AtMost, processorTargetCores},
		{ProcessorBusy, "processor of a node at 0.5 load, requests included", "", NoTarget, 0},
		{MemoryRest, "resident memory of a node at rest", "MiB", AtMost, memoryTargetMiB},
		{MemoryBusy, "resident memory of a node at 0.5 load", "MiB", AtMost, memoryTargetMiB},
		{SheetInForce, "time until a sheet is in force on all nodes", "s", AtMost, sheetTargetSeconds},
	}
}
