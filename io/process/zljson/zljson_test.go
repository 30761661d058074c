package zljson

import (
	"encoding/json"
	"strings"
	"testing"
)

func TestUnreadableValuesAreLeftOut(t *testing.T) {
	deep := strings.Repeat("[", 20_000) + "1" + strings.Repeat("]", 20_000)
	for text, want := range map[string]string{
		`[1,` + deep + `,{"a":[2]}]`:    `[1,` + strings.Repeat("[", maxNesting-2) + "null" + strings.Repeat("]", maxNesting-2) + `,{"a":[2]}]`,
		`{"a":Infinity,"b":-NaN}`:       `{"a":null,"b":null}`,
		"[\"a\x01\",\"\\x\",\"\\\"]\"]": `["","","\"]"]`,
		`[01,1e999,"ok"]`:               `[null,1e999,"ok"]`,
	} {
		var got json.RawMessage
		if err := Unmarshal([]byte(text), &got); err != nil || string(got) != want {
			t.Errorf("%.60s: got %.300s, error %v, want %.300s", text, got, err, want)
		}
	}
	if err := Unmarshal([]byte(`{"a":`), new(any)); err == nil {
		t.Error("a text that ends early: got no error")
	}
}

func FuzzUnmarshal(f *testing.F) {
	f.Add([]byte(`{"a":[1,"b\"",null,}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var got, want any
		err := Unmarshal(data, &got)
		if json.Unmarshal(data, &want) == nil && err != nil {
			t.Errorf("got error %v for a text that is JSON", err)
		}
	})
}
