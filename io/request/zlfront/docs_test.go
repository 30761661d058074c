package zlfront

import (
	"encoding/json"
	"os"
	"regexp"
	"strings"
	"testing"
)

// TestExamplesOfThePage makes sure that the requests and answers of the API's
// page are such as this package takes and gives.
func TestExamplesOfThePage(t *testing.T) {
	page, err := os.ReadFile("../../../docs/API.md")
	if err != nil {
		t.Fatal(err)
	}
	found := map[string]int{}
	for _, m := range regexp.MustCompile("(?s)```json ([a-z-]+)\n(.*?)```").FindAllStringSubmatch(string(page), -1) {
		kind, body := m[1], m[2]
		found[kind]++
		switch kind {
		case "request", "request-wrong":
			_, fault := Decode(strings.NewReader(body))
			if (fault != "") != (kind == "request-wrong") {
				t.Errorf("%s: %q\n%s", kind, fault, body)
			}
		case "answer":
			checkAnswer(t, body)
		default:
			t.Errorf("unknown kind of example %q", kind)
		}
	}
	if found["request"] < 5 || found["answer"] < 8 || found["request-wrong"] < 1 {
		t.Errorf("too few examples: %v", found)
	}
}

func checkAnswer(t *testing.T, body string) {
	t.Helper()
	d := json.NewDecoder(strings.NewReader(body))
	d.DisallowUnknownFields()
	var a Answer
	if err := d.Decode(&a); err != nil {
		t.Errorf("%v\n%s", err, body)
		return
	}
	if (a.Refusal == nil) == (len(a.Parts) == 0) {
		t.Errorf("neither an answer nor a refusal, or both:\n%s", body)
	}
}
