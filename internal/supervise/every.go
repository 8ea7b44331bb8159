package supervise

import (
	"context"
	"time"
)

// Periodic returns a worker that calls f at an interval until its context ends.
func Periodic(interval time.Duration, f func()) Worker {
	return func(ctx context.Context) error {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-ticker.C:
				f()
			}
		}
	}
}
