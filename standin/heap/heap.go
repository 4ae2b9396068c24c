// Package heap measures the memory of tests.
package heap

import (
	"runtime/metrics"
	"time"

	"golang.org/x/sync/errgroup"
)

// SmallestInstance is the memory of the smallest instance, in bytes.
const SmallestInstance = 184 << 20

// samplePeriod is the interval at which PeakDuring samples the memory.
const samplePeriod = 5 * time.Millisecond

// PeakDuring calls run and returns the most memory in bytes that the Go runtime had mapped and not returned meanwhile.
func PeakDuring(run func()) uint64 {
	var group errgroup.Group
	var peak uint64
	done := make(chan struct{})
	group.Go(func() error {
		ticker := time.NewTicker(samplePeriod)
		defer ticker.Stop()
		for {
			peak = max(peak, mapped())
			select {
			case <-done:
				return nil
			case <-ticker.C:
			}
		}
	})
	run()
	close(done)
	_ = group.Wait()
	return peak
}

// mapped returns the memory that the Go runtime has mapped and not returned.
func mapped() uint64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	return samples[0].Value.Uint64() - samples[1].Value.Uint64()
}
