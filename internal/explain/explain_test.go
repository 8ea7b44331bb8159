package explain

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

const logs = `{"time":"3","decision":"refusal","reason":"no_upstream","request":"a","detail":"no replica can run it now","age_ms":1500}
not a line of JSON
{"time":"1","decision":"wait","reason":"adapter","request":"a","detail":"a7"}
{"time":"2","decision":"dispatch","reason":"least_occupied","request":"b","upstream":"i1"}
{"time":"4","decision":"attempt","reason":"broken","request":"b","upstream":"i1","age_ms":24}
{"time":"5","decision":"refusal","reason":"upstream_failed","request":"b","upstream":"i1"}
`

func TestCauseOfEachRequest(t *testing.T) {
	is := is.New(t)
	for request, want := range map[string]Cause{"a": AdapterLoadTimeout, "b": AnswerIncomplete, "c": NotLogged} {
		lines, err := Read(strings.NewReader(logs), request)
		is.NoErr(err)
		is.Equal(Why(lines), want)
	}
}

// The texts of times without and with a fraction don't sort by time.
func TestFractionsOfSecondsAreSorted(t *testing.T) {
	is := is.New(t)
	var text strings.Builder
	for _, time := range []string{"2026-01-02T03:04:05.12Z", "2026-01-02T03:04:05Z", "2026-01-02T03:04:05.1Z"} {
		text.WriteString(`{"time":"` + time + `","request":"a"}` + "\n")
	}
	lines, err := Read(strings.NewReader(text.String()), "a")
	is.NoErr(err)
	is.Equal([]string{lines[0].Time, lines[1].Time, lines[2].Time}, []string{"2026-01-02T03:04:05Z", "2026-01-02T03:04:05.1Z", "2026-01-02T03:04:05.12Z"})
}

func TestLinesAreSortedByTime(t *testing.T) {
	is := is.New(t)
	lines, err := Read(strings.NewReader(logs), "a")
	is.NoErr(err)
	var out strings.Builder
	is.NoErr(Write(&out, lines))
	is.True(strings.Index(out.String(), "wait") < strings.Index(out.String(), "refusal"))
	is.True(strings.HasSuffix(out.String(), "cause: "+string(AdapterLoadTimeout)+"\n"))
}

func TestRequestThatWaitedUntilItsVersionExpired(t *testing.T) {
	is := is.New(t)
	is.Equal(Why([]Line{
		{Decision: "dispatch", Reason: "least_occupied"},
		{Decision: "retry", Reason: "version_expired"},
		{Decision: "attempt", Reason: "cancelled"},
		{Decision: "refusal", Reason: "upstream_failed"},
	}), VersionExpired)
}

func TestRequestWithABlockedPartLeadsToTheLostReplicas(t *testing.T) {
	is := is.New(t)
	const text = `{"time":"2026-01-01T00:00:03Z","message":"decided","decision":"refusal","reason":"overloaded","request":"q1","detail":"replicas were lost one after the other under part bad of its prompt"}
{"time":"2026-01-01T00:00:01Z","message":"decided","decision":"prompt_part","reason":"suspected","detail":"bad, seen by this host at i1, replicas lost in a row 1"}
{"time":"2026-01-01T00:00:01Z","message":"decided","decision":"prompt_part","reason":"suspected","detail":"bad1, seen by this host at i1, replicas lost in a row 1"}
{"time":"2026-01-01T00:00:02Z","message":"decided","decision":"prompt_part","reason":"blocked","detail":"bad, seen by this host at i3, replicas lost in a row 3"}
`
	lines, err := Read(strings.NewReader(text), "q1")
	is.NoErr(err)
	is.Equal(len(lines), 3)
	is.Equal(lines[0].Reason, "suspected")
	is.Equal(Why(lines), PartBlocked)
	lines, err = Read(strings.NewReader(text), "q2")
	is.NoErr(err)
	is.Equal(Why(lines), NotLogged)
	is.Equal(Why([]Line{{Decision: "refusal", Reason: "overloaded", Detail: "the replicas that could run it take no more requests a second"}}), ReplicasLimited)
}

// Guards against issue 36: a request that went over another host could not be followed there.
func TestRequestIsFollowedToTheHostThatCarriedIt(t *testing.T) {
	is := is.New(t)
	logs := `{"time":"1","decision":"dispatch","reason":"least_occupied","request":"a","upstream":"s1","detail":"load 0, over b/1"}
{"time":"2","decision":"carry","reason":"begun","request":"a","upstream":"s1","detail":"for a/1"}
`
	lines, err := Read(strings.NewReader(logs), "a")
	is.NoErr(err)
	is.Equal(len(lines), 2)
	is.Equal(Why(lines), Served)
	is.Equal(Why([]Line{{Decision: "refusal", Reason: "no_upstream", Detail: "no host reaches a replica of the service"}}), Unreached)
	is.Equal(Why([]Line{{Decision: "refusal", Reason: "overloaded", Detail: "the replicas that could run it are brittle and have no room"}}), ReplicasBrittle)
}
