package gateway

import (
	"context"
)

// finishForwards declines further requests of other entries and waits until those in flight have ended, for the grace
// time at most.
func (p *Process) finishForwards(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, p.Settings.GraceTime-shutdownMargin)
	defer cancel()
	p.receiver.Stop(ctx)
}

// memoryShare returns a share of the setting Memory in bytes.
func (p *Process) memoryShare(share float64) int64 {
	return int64(float64(p.Settings.Memory) * share * (1 << 20))
}
