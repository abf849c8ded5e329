package estimator_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/lycheebarrow/lycheebarrow/internal/estimator"
)

func TestPredict(t *testing.T) {
	forms := estimator.Kind{Organisation: "acme", Model: "forms", MaxTokens: 4096}
	testCases := []struct {
		name string
		seen []int // lengths in tokens of completed responses of kind forms
		ask  estimator.Kind
		want estimator.Estimate
	}{
		{name: "the limit without observations", ask: forms, want: estimator.Estimate{Tokens: 4096, Long: true}},
		{name: "one short response is enough to predict a short one", seen: []int{60}, ask: forms, want: estimator.Estimate{Tokens: 2078}},
		{name: "the mean of the limit and the observations", seen: []int{60, 60, 60}, ask: forms, want: estimator.Estimate{Tokens: 1069}},
		{name: "long responses", seen: []int{2000, 2000}, ask: forms, want: estimator.Estimate{Tokens: 2698, Long: true}},
		{
			name: "observations of another organisation do not count", seen: []int{60},
			ask: estimator.Kind{Organisation: "clinic", Model: "forms", MaxTokens: 4096}, want: estimator.Estimate{Tokens: 4096, Long: true},
		},
		{
			name: "at most the limit", seen: []int{4000},
			ask: estimator.Kind{Organisation: "acme", Model: "forms", MaxTokens: 2100}, want: estimator.Estimate{Tokens: 2100, Long: true},
		},
		{name: "no limit", ask: estimator.Kind{Organisation: "acme", Model: "forms"}, want: estimator.Estimate{Tokens: 256}},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			e := estimator.Estimator{LongTokens: 512}
			for _, n := range tc.seen {
				e.Observe(forms, n)
			}
			assert.Equal(t, tc.want, e.Predict(tc.ask))
		})
	}
}
