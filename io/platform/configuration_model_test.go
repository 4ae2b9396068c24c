package platform_test

import "github.com/anishathalye/porcupine"

// head is the state of the specification: what is in force.
type head struct {
	revision uint64
	mark     float64
}

// specification is a register that is changed by compare-and-set on its revision.
var specification = porcupine.NondeterministicModel{
	Init: func() []any { return []any{head{}} },
	Step: func(state, input, output any) []any {
		now, in, out := state.(head), input.(publication), output.(published)
		applied := head{revision: in.base + 1, mark: in.mark}
		switch {
		case out.outcome == accepted && now.revision == in.base && out.revision == in.base+1:
			return []any{applied}
		case out.outcome == conflicted && now.revision > in.base:
			return []any{now}
		case out.outcome == unavailable:
			return []any{now}
		case out.outcome == unknown && now.revision == in.base:
			return []any{now, applied}
		case out.outcome == unknown:
			return []any{now}
		}
		return nil
	},
}

// checkHistory fails the test unless the operations could have happened one after another.
func (h *publishing) checkHistory() {
	model := specification.ToModel()
	if result := porcupine.CheckOperationsTimeout(model, h.history, historyTimeout); result != porcupine.Ok {
		h.t.Errorf("history of %d publications: %v", len(h.history), result)
	}
}
