package zlfront

import (
	"encoding/json"
	"os"
	"regexp"
	"strings"
	"testing"
)

// Guards against examples in docs/API.md that no longer match the API: Decode accepts the
// requests, rejects the wrong ones, and the answers have only known fields.
func TestExamplesOfAPIPage(t *testing.T) {
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
				t.Errorf("%s: Decode returned fault %q for\n%s", kind, fault, body)
			}
		case "answer":
			checkAnswer(t, body)
		default:
			t.Errorf("the page has an example of unknown kind %q", kind)
		}
	}
	if found["request"] < 5 || found["answer"] < 8 || found["request-wrong"] < 1 {
		t.Errorf("got examples %v, want at least 5 requests, 8 answers and 1 wrong request", found)
	}
}

func checkAnswer(t *testing.T, body string) {
	t.Helper()
	d := json.NewDecoder(strings.NewReader(body))
	d.DisallowUnknownFields()
	var a Answer
	if err := d.Decode(&a); err != nil {
		t.Errorf("answer cannot be decoded: %v\n%s", err, body)
		return
	}
	if (a.Refusal == nil) == (len(a.Parts) == 0) {
		t.Errorf("answer has neither parts nor a refusal, or both:\n%s", body)
	}
}
