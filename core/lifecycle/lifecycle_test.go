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
		note := func(what string) {
			mu.Lock()
			defer mu.Unlock()
			order = append(order, what)
		}
		ctx, stop := context.WithTimeout(t.Context(), time.Second)
		defer stop()
		part := func(ctx context.Context) error {
			<-ctx.Done()
			note("part")
			return nil
		}
		serve := func(ctx, support context.Context) error {
			<-ctx.Done()
			time.Sleep(time.Second)
			if support.Err() != nil {
				t.Error("the parts ended before what they support")
			}
			note("serve")
			return nil
		}
		if err := Run(ctx, []Component{part}, serve); err != nil {
			t.Fatal(err)
		}
		if want := []string{"serve", "part"}; !slices.Equal(order, want) {
			t.Errorf("order = %v, want %v", order, want)
		}
	})
}

func TestRunEndsWithTheFirstError(t *testing.T) {
	want := errors.New("broken")
	part := func(context.Context) error { return want }
	serve := func(_, support context.Context) error {
		<-support.Done()
		return nil
	}
	if err := Run(t.Context(), []Component{part}, serve); !errors.Is(err, want) {
		t.Errorf("error = %v, want %v", err, want)
	}
}
