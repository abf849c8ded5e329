package apportioner_test

import (
	"bufio"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lycheebarrow/lycheebarrow/internal/apportioner"
	"github.com/lycheebarrow/lycheebarrow/internal/cataloguer"
)

// Each line of testdata/divisions.txt is a case: the group sizes and shares of the models,
// as SIZE:SHARE; the domains, as DC FREE, or DC FREE GROUPS where they have groups; and
// the new groups of each model in each domain.
func TestApportion(t *testing.T) {
	f, err := os.Open("testdata/divisions.txt")
	require.NoError(t, err)
	defer f.Close()
	for scanner := bufio.NewScanner(f); scanner.Scan(); {
		line, _, _ := strings.Cut(scanner.Text(), "#")
		if strings.TrimSpace(line) == "" {
			continue
		}
		parts := strings.Split(line, "|")
		require.Len(t, parts, 3, line)
		var out []string
		for _, division := range apportioner.Apportion(parseModels(t, parts[0]), parseDomains(t, parts[1])) {
			out = append(out, joinNumbers(division))
		}
		assert.Equal(t, strings.Fields(parts[2]), out, line)
	}
}

func parseModels(t *testing.T, text string) []cataloguer.Model {
	var out []cataloguer.Model
	for _, word := range strings.Fields(text) {
		size, share, _ := strings.Cut(word, ":")
		n, err := strconv.Atoi(size)
		require.NoError(t, err)
		x, err := strconv.ParseFloat(share, 64)
		require.NoError(t, err)
		out = append(out, cataloguer.Model{GroupSize: n, InitialShare: x})
	}
	return out
}

func parseDomains(t *testing.T, text string) []apportioner.Domain {
	var out []apportioner.Domain
	for _, domain := range strings.Split(text, ",") {
		words := strings.Fields(domain)
		free, err := strconv.Atoi(words[1])
		require.NoError(t, err)
		d := apportioner.Domain{DataCentre: words[0], Free: free}
		if len(words) > 2 {
			for _, n := range strings.Split(words[2], "+") {
				groups, err := strconv.Atoi(n)
				require.NoError(t, err)
				d.Groups = append(d.Groups, groups)
			}
		}
		out = append(out, d)
	}
	return out
}

func joinNumbers(list []int) string {
	var words []string
	for _, n := range list {
		words = append(words, strconv.Itoa(n))
	}
	return strings.Join(words, "+")
}

// Whatever the sizes of domains and groups, no model is without a group while another has
// groups that leave room for one in their domain.
func TestNoModelIsLeftWithoutGroup(t *testing.T) {
	for size := 2; size <= 40; size++ {
		for _, sizes := range [][]int{{6, 3}, {8, 2}, {12, 6}, {16, 4}, {5, 3}, {12, 6, 2}} {
			var models []cataloguer.Model
			for _, s := range sizes {
				models = append(models, cataloguer.Model{GroupSize: s, InitialShare: 1 / float64(len(sizes))})
			}
			for dataCentres := 1; dataCentres <= 5; dataCentres++ {
				var domains []apportioner.Domain
				for c := range dataCentres {
					domains = append(domains, apportioner.Domain{DataCentre: strconv.Itoa(c), Free: size})
				}
				checkModelsHaveGroups(t, models, domains, apportioner.Apportion(models, domains))
			}
		}
	}
}

// checkModelsHaveGroups checks that a model without a group would need the last group of
// another one.
func checkModelsHaveGroups(t *testing.T, models []cataloguer.Model, domains []apportioner.Domain, divisions [][]int) {
	total := make([]int, len(models))
	for _, division := range divisions {
		for i, n := range division {
			total[i] += n
		}
	}
	for i, m := range models {
		if total[i] > 0 || m.GroupSize > domains[0].Free {
			continue
		}
		for n, division := range divisions {
			spared := domains[n].Free
			for j, groups := range division {
				spared -= min(groups, max(1-(total[j]-groups), 0)) * models[j].GroupSize
			}
			assert.Less(t, spared, m.GroupSize, "model of %d in %v with %v", m.GroupSize, domains, divisions)
		}
	}
}
