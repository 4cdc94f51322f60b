package node

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"

	"jaspersill/delivery"
	"jaspersill/store"
)

// Records complete event life cycles from 64 concurrent writers: acceptance, attempt, acknowledgement, completion.
func BenchmarkJournalEventLifecycle(b *testing.B) {
	const writers = 64
	body := make([]byte, 300)
	run := func(b *testing.B, recordLifecycle func(id string) error) {
		var next atomic.Int64
		var wg sync.WaitGroup
		for range writers {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for {
					n := next.Add(1)
					if n > int64(b.N) {
						return
					}
					if err := recordLifecycle(fmt.Sprintf("%016x", n)); err != nil {
						b.Error(err)
						return
					}
				}
			}()
		}
		wg.Wait()
		b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "events/s")
	}
	j, _, err := openJournal(b.TempDir(), store.Dir(b.TempDir()), wallClock, 64, 6, findAnyType)
	if err != nil {
		b.Fatal(err)
	}
	defer j.close()
	b.ResetTimer()
	run(b, func(id string) error {
		e := &event{id: id, idempotencyKey: "m", dest: 7, deadlineTimeOfDay: 1 << 60, body: body}
		if err := errors.Join(j.accept(e, "alert", "acme"), j.recordAttempt(e, 0, 5, "zone")); err != nil {
			return err
		}
		j.recordOutcome(e, 0, delivery.Acked)
		j.complete(e)
		return nil
	})
}
