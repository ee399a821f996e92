package former

import (
	"encoding/json"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"

	"marjorammoor/internal/serving/matcher"
)

// TestGoals checks how many replicas of each model a domain should have, by the
// cases of testdata/goals.json.
func TestGoals(t *testing.T) {
	list := []struct {
		Name    string         `json:"name"`
		Sizes   map[string]int `json:"sizes"`
		Model   string         `json:"model"`
		Runners int            `json:"runners"`
		Goal    map[string]int `json:"goal"`
	}{}
	readJSON(t, "testdata/goals.json", &list)
	for _, x := range list {
		t.Run(x.Name, func(t *testing.T) {
			models := []matcher.Model{}
			for _, name := range []string{"large", "small"} {
				if size, ok := x.Sizes[name]; ok {
					models = append(models, matcher.Model{Name: name, Size: size, InitialShare: 0.5})
				}
			}
			a := &Assignment{Model: x.Model}
			if got := a.goal(models, x.Runners); !maps.Equal(got, x.Goal) {
				t.Errorf("goal %v, wanted %v", got, x.Goal)
			}
		})
	}
}

// TestModels checks which models are chosen for domains that are created one after
// the other, by the cases of testdata/models.json.
func TestModels(t *testing.T) {
	list := []struct {
		Name        string             `json:"name"`
		Shares      map[string]float64 `json:"shares"`
		DataCenters []string           `json:"data_centers"`
		Models      []string           `json:"models"`
	}{}
	readJSON(t, "testdata/models.json", &list)
	for _, x := range list {
		t.Run(x.Name, func(t *testing.T) {
			models := []matcher.Model{{Name: "large", Size: 4, InitialShare: x.Shares["large"]}, {Name: "small", Size: 2, InitialShare: x.Shares["small"]}}
			byDataCenter, total := map[string]map[string]int{}, map[string]int{}
			for i, dataCenter := range x.DataCenters {
				got := chooseModel(models, len(x.DataCenters), byDataCenter[dataCenter], total)
				if got != x.Models[i] {
					t.Errorf("domain %d of %s gets %q, wanted %q", i, dataCenter, got, x.Models[i])
				}
				countDomain(byDataCenter, total, dataCenter, got)
			}
		})
	}
}

// TestPlans checks the models of domains that are listed in steps, by the cases of
// testdata/plans.json. In each step, a node of each data centre creates the
// assignments of its own data centre and does not see those that the others create.
// Nodes that plan only their own domains would all choose the same model first.
func TestPlans(t *testing.T) {
	list := []struct {
		Name   string             `json:"name"`
		Shares map[string]float64 `json:"shares"`
		// Steps are the new domains of each step, by data centre.
		Steps []map[string][]string `json:"steps"`
		Total map[string]int        `json:"total"`
		// EachHasAll requires that each data centre serves every model.
		EachHasAll bool `json:"each_has_all"`
	}{}
	readJSON(t, "testdata/plans.json", &list)
	for _, x := range list {
		t.Run(x.Name, func(t *testing.T) {
			engine := &matcher.Engine{Models: []matcher.Model{{Name: "large", Size: 8, InitialShare: x.Shares["large"]}, {Name: "small", Size: 2, InitialShare: x.Shares["small"]}}}
			service := &matcher.Service{Name: "pool", Engine: engine}
			byDataCenter, total := map[string]map[string]int{}, map[string]int{}
			domains := 0
			for _, step := range x.Steps {
				missing := []*domain{}
				for dataCenter, names := range step {
					for _, name := range names {
						missing = append(missing, &domain{service: service, name: name, dataCenter: dataCenter})
					}
				}
				domains += len(missing)
				created := map[string]string{}
				for dataCenter := range step {
					plan := planModels(missing, domains, cloneCounts(byDataCenter), maps.Clone(total))
					for _, d := range missing {
						if d.dataCenter == dataCenter {
							created[dataCenter+" "+d.name] = plan[objectName(d)]
						}
					}
				}
				for key, model := range created {
					dataCenter, _, _ := strings.Cut(key, " ")
					countDomain(byDataCenter, total, dataCenter, model)
				}
			}
			if !maps.Equal(total, x.Total) {
				t.Errorf("domains per model %v, wanted %v", total, x.Total)
			}
			for dataCenter, models := range byDataCenter {
				if x.EachHasAll && len(models) < 2 {
					t.Errorf("data centre %s serves only %v", dataCenter, models)
				}
			}
		})
	}
}

func cloneCounts(counts map[string]map[string]int) map[string]map[string]int {
	out := map[string]map[string]int{}
	for k, v := range counts {
		out[k] = maps.Clone(v)
	}
	return out
}

// TestReassignments checks which domain is reassigned to a model that no domain
// serves, by the cases of testdata/reassignments.json.
func TestReassignments(t *testing.T) {
	list := []struct {
		Name     string            `json:"name"`
		Models   []string          `json:"models"`
		Unwanted []string          `json:"unwanted"`
		Domains  map[string]string `json:"domains"`
		Domain   string            `json:"domain"`
		Model    string            `json:"model"`
	}{}
	readJSON(t, "testdata/reassignments.json", &list)
	for _, x := range list {
		t.Run(x.Name, func(t *testing.T) {
			models := []matcher.Model{}
			for _, name := range x.Models {
				models = append(models, matcher.Model{Name: name, Size: 2, InitialShare: 0.5})
			}
			assignments := []Assignment{}
			for domain, model := range x.Domains {
				assignments = append(assignments, Assignment{Domain: domain, Model: model})
			}
			wanted := func(m matcher.Model) bool { return !slices.Contains(x.Unwanted, m.Name) }
			if domain, model := chooseReassigned(models, assignments, wanted); domain != x.Domain || domain != "" && model != x.Model {
				t.Errorf("domain %q goes to %q, wanted %q to %q", domain, model, x.Domain, x.Model)
			}
		})
	}
}

func readJSON(t *testing.T, path string, out any) {
	t.Helper()
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(b, out); err != nil {
		t.Fatal(err)
	}
}
