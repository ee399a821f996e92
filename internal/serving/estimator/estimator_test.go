package estimator

import (
	"encoding/json"
	"os"
	"testing"
	"time"

	"marjorammoor/internal/serving/matcher"
)

// TestFirstEvent checks predictions against figures worked out by hand.
func TestFirstEvent(t *testing.T) {
	b, err := os.ReadFile("testdata/first_event.json")
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		Name         string
		Engine       *matcher.Engine
		Model        *matcher.Model
		PromptTokens int     `json:"prompt_tokens"`
		WantMS       float64 `json:"want_ms"`
	}{}
	if err := json.Unmarshal(b, &cases); err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		got := FirstEvent(c.Engine, c.Model, c.PromptTokens)
		want := time.Duration(c.WantMS * float64(time.Millisecond))
		if (got - want).Abs() > 10*time.Microsecond {
			t.Errorf("%s: first event after %v, want %v", c.Name, got, want)
		}
	}
}

// TestResponse checks predictions of whole responses against figures worked out by hand.
func TestResponse(t *testing.T) {
	b, err := os.ReadFile("testdata/response.json")
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		Name         string
		Engine       *matcher.Engine
		Model        *matcher.Model
		PromptTokens int     `json:"prompt_tokens"`
		MaxOutput    int     `json:"max_output"`
		WantMS       float64 `json:"want_ms"`
	}{}
	if err := json.Unmarshal(b, &cases); err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		got := Response(c.Engine, c.Model, c.PromptTokens, c.MaxOutput)
		want := time.Duration(c.WantMS * float64(time.Millisecond))
		if (got - want).Abs() > 10*time.Microsecond {
			t.Errorf("%s: response after %v, want %v", c.Name, got, want)
		}
	}
}
