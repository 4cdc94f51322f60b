package settings

import (
	"reflect"
	"strings"
	"testing"
)

const linesText = `models=big,small_one
areas=here
discovery=subscribe
ceilings.max_open=50
ceilings.max_attempts=4
ceilings.retry_after=true
ceilings.max_retry_after_ms=1500.5
ceilings.conn_idle_ms=15000
ceilings.connect_timeout_ms=1500
family_info.slots=5
family_info.per_call=3,1
feedback.names=x1,x0
me=1
replicas_of_me=2
tick_ms=5
rules.cold_share=0.2
rules.ramp_time_ms=9000
rules.fall_multiple=2
rules.tip_after_ms=2000
rules.drain_grace_ms=300
services.count=1
services.0.name=fleet_alert
services.0.semantics=by_key
services.0.group=zone
services.0.aim_ms=1000
services.0.deadline_ms=9000
services.0.memory_span_ms=5000
services.0.value=2
projects.count=2
projects.0.name=acme
projects.0.quota_rps=3
projects.1.name=a_b_c
projects.1.quota_rps=4
unknown.key=skipped`

const jsonText = `{"models":["big","small one"],"areas":["here"],"discovery":"subscribe",
 "ceilings":{"max_open":50,"max_attempts":4,"retry_after":true,"max_retry_after_ms":1500.5,
  "conn_idle_ms":15000,"connect_timeout_ms":1500},
 "family_info":{"slots":5,"per_call":[3,1]},"feedback":{"names":["x1","x0"]},"me":1,
 "replicas_of_me":2,"tick_ms":5.0,
 "rules":{"cold_share":0.2,"ramp_time_ms":9000,"fall_multiple":2,"tip_after_ms":2000,"drain_grace_ms":300},
 "services":[{"name":"fleet alert","semantics":"by_key","group":"zone","aim_ms":1000,"deadline_ms":9000,
  "memory_span_ms":5000,"value":2}],
 "projects":[{"name":"acme","quota_rps":3},{"name":"a,b c","quota_rps":4}],"unknown":{"key":null}}`

func TestLinesAndJSONParseAlike(t *testing.T) {
	a, err := ParseLines(linesText)
	if err != nil {
		t.Fatal(err)
	}
	b, err := ParseJSON([]byte(jsonText))
	if err != nil {
		t.Fatal(err)
	}
	if b.UnknownKeys = a.UnknownKeys; !reflect.DeepEqual(a, b) { // a JSON null counts as absent, so b has no unknown key
		t.Errorf("lines %+v\nJSON %+v", a, b)
	}
	if a.StreamTypeNames[0] != NormalizeName("fleet alert") || a.CustomerNames[1] != NormalizeName("a,b c") || a.LimitIndex != 0 ||
		a.FreeShareIndex != 1 || a.MinRoundInterval != 5e6 || a.ConnIdleTimeout != 15e9 || a.ConnectTimeout != 15e8 ||
		a.Limits.MaxRetryAfter != 1500.5*1e6 {
		t.Errorf("parsed %+v", a)
	}
	if len(a.UnknownKeys) != 1 || a.UnknownKeys[0] != "unknown.key" {
		t.Errorf("unknown keys %q, want unknown.key", a.UnknownKeys)
	}
}

func TestInvalidSettingsAreReported(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`"me":1`, `"me":"x"`, `settings: me: want a number from 0 to 1e12, got "x"`},
		{`"me":1`, `"me":[1,`, "settings: "},
		{`"by_key"`, `"sometimes"`, "services.0.semantics: want one of repeatable by_key once"},
		{`"slots":5`, `"slots":5.5`, "family_info.slots: want a whole number"},
		{`"retry_after":true`, `"retry_after":"yes"`, "ceilings.retry_after: want true or false"},
		{`"slots":5`, `"slots":0`, `settings: family_info.slots: want 1 or more, got "0"`},
		{`"max_open":50`, `"max_open":0`, `ceilings.max_open: want 1 or more, got "0"`},
		{`"max_attempts":4`, `"max_attempts":0`, `ceilings.max_attempts: want 1 or more, got "0"`},
		{`"replicas_of_me":2`, `"replicas_of_me":0`, `replicas_of_me: want 1 or more, got "0"`},
		{`"deadline_ms":9000`, `"deadline_ms":0`, `services.0.deadline_ms: want over 0, got "0"`},
		{jsonText, "", "settings: "},
		{jsonText, "[]", "settings: "},
	} {
		_, err := ParseJSON([]byte(strings.Replace(jsonText, c.old, c.new, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got %v, want %q", c.new, err, c.want)
		}
	}
}
