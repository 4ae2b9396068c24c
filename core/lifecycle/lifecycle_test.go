package lifecycle

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

func TestRunEndsPartsBehindServe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		var order []string
		record := func(what string) {
			mu.Lock()
			defer mu.Unlock()
			order = append(order, what)
		}
		ctx, stop := context.WithTimeout(t.Context(), time.Second)
		defer stop()
		component := func(ctx context.Context) error {
			<-ctx.Done()
			record("part")
			return nil
		}
		serve := func(ctx, support context.Context) error {
			<-ctx.Done()
			time.Sleep(time.Second)
			if support.Err() != nil {
				t.Error("components stopped before serve returned")
			}
			record("serve")
			return nil
		}
		if err := Run(ctx, []Component{component}, serve); err != nil {
			t.Fatal(err)
		}
		if want := []string{"serve", "part"}; !slices.Equal(order, want) {
			t.Errorf("got stop order %v, want %v", order, want)
		}
	})
}

func TestRunEndsWithTheFirstError(t *testing.T) {
	want := errors.New("broken")
	component := func(context.Context) error { return want }
	serve := func(_, support context.Context) error {
		<-support.Done()
		return nil
	}
	if err := Run(t.Context(), []Component{component}, serve); !errors.Is(err, want) {
		t.Errorf("got error %v, want %v", err, want)
	}
}
