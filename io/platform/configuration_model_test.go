package platform_test

import "github.com/anishathalye/porcupine"

// registerState is the state of the sequential specification: the current revision and its mark.
type registerState struct {
	revision uint64
	mark     float64
}

// registerModel specifies the stored configuration as a register that publications change by compare-and-set on its
// revision. A publication with an unknown outcome may or may not have been applied.
var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{registerState{}} },
	Step: func(state, input, output any) []any {
		current, in, out := state.(registerState), input.(publication), output.(publicationResult)
		applied := registerState{revision: in.base + 1, mark: in.mark}
		switch {
		case out.outcome == accepted && current.revision == in.base && out.revision == in.base+1:
			return []any{applied}
		case out.outcome == conflicted && current.revision > in.base:
			return []any{current}
		case out.outcome == unavailable:
			return []any{current}
		case out.outcome == unknown && current.revision == in.base:
			return []any{current, applied}
		case out.outcome == unknown:
			return []any{current}
		}
		return nil
	},
}

// checkHistory fails the test unless the recorded publications are linearizable.
func (h *schedule) checkHistory() {
	model := registerModel.ToModel()
	if result := porcupine.CheckOperationsTimeout(model, h.history, historyTimeout); result != porcupine.Ok {
		h.t.Errorf("history of %d publications is %v, want Ok", len(h.history), result)
	}
}
