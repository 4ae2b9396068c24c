package config_test

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"wisteriadyke/core/config"
	"wisteriadyke/core/fleet"
)

// account returns a valid account whose key digest consists of one repeated digit.
func account(name fleet.AccountID, digit string) config.Account {
	return config.Account{Name: name, Weight: 1, KeyDigest: strings.Repeat(digit, 64)}
}

// model returns a valid class of model requests.
func model(name fleet.ClassName) config.Class {
	return config.Class{
		Name: name, Pool: "reader", Kind: fleet.KindEngine,
		StartTimeout: 5 * time.Second, FinishTimeout: time.Minute, MaxPrompt: 16000, MaxOutput: 64,
	}
}

// call returns a valid class of service calls.
func call(name fleet.ClassName) config.Class {
	return config.Class{
		Name: name, Pool: "desk", Kind: fleet.KindService,
		StartTimeout: time.Second, FinishTimeout: time.Second, AtMostOnce: true,
	}
}

// with returns a copy of the class with a change.
func with(class config.Class, change func(*config.Class)) config.Class {
	change(&class)
	return class
}

func TestMerge(t *testing.T) {
	tests := map[string]struct {
		accounts []config.Account
		classes  []config.Class
		want     []string
	}{
		"valid": {
			accounts: []config.Account{account("a", "1"), account("b", "2")},
			classes:  []config.Class{model("summary"), call("filing")},
		},
		"duplicates": {
			accounts: []config.Account{account("a", "1"), account("a", "2"), account("c", "1")},
			classes:  []config.Class{model("summary"), model("summary")},
			want:     []string{"accounts[1].name", "accounts[2].key_digest", "classes[1].name"},
		},
		"bad account": {
			accounts: []config.Account{{Name: "a", Weight: 0, KeyDigest: "12"}},
			classes:  []config.Class{model("summary")},
			want:     []string{"accounts[0].weight", "accounts[0].key_digest"},
		},
		"bad times": {
			accounts: []config.Account{account("a", "1")},
			classes: []config.Class{
				with(model("longer"), func(c *config.Class) { c.StartTimeout = time.Hour }),
				with(model("unreachable"), func(c *config.Class) { c.MaxPrompt = 100_000; c.StartTimeout = time.Millisecond }),
				with(model("never"), func(c *config.Class) { c.StartTimeout, c.FinishTimeout = 0, 0 }),
			},
			want: []string{"classes[0].wait", "classes[1].wait", "classes[2].wait", "classes[2].finish"},
		},
		"kinds": {
			accounts: []config.Account{account("a", "1")},
			classes: []config.Class{
				with(model("once"), func(c *config.Class) { c.AtMostOnce = true; c.Operation = "o" }),
				with(call("prompt"), func(c *config.Class) { c.MaxPrompt, c.MaxOutput = 1, 1 }),
				with(call("other"), func(c *config.Class) { c.Kind = "robot" }),
				with(call("mixed"), func(c *config.Class) { c.Pool = "reader" }),
				with(model("unbounded"), func(c *config.Class) { c.MaxPrompt, c.MaxOutput = 0, 0 }),
			},
			want: []string{
				"classes[0].at_most_once", "classes[0].operation", "classes[1].max_prompt", "classes[1].max_output",
				"classes[2].kind", "classes[2].kind", "classes[3].kind", "classes[4].max_prompt", "classes[4].max_output",
			},
		},
		"nothing": {want: []string{"", ""}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			_, problems := config.Merge([]config.Source{{Name: "f", Accounts: tc.accounts, Classes: tc.classes}})
			var got []string
			for _, p := range problems {
				got = append(got, p.Field)
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("problems (-want +got):\n%s\n%v", diff, problems)
			}
		})
	}
}

func TestMergeNamesTheOtherSource(t *testing.T) {
	sources := []config.Source{
		{Name: "first", Accounts: []config.Account{account("a", "1")}, Classes: []config.Class{model("summary")}},
		{Name: "second", Accounts: []config.Account{account("a", "2")}},
	}
	_, problems := config.Merge(sources)
	want := []config.Problem{{
		Source: 1,
		Field:  "accounts[0].name",
		Text:   `account "a" is declared already at accounts[0] of first`,
	}}
	if diff := cmp.Diff(want, problems); diff != "" {
		t.Errorf("problems (-want +got):\n%s", diff)
	}
}
