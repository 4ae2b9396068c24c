package peer

import (
	_ "embed"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"
	"google.golang.org/protobuf/testing/protocmp"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/dynamicpb"

	"wisteriadyke/core/placement"
	"wisteriadyke/core/sharedload"
)

// earlierUsage is usage.proto of commit 7dc2bf5, the last one before waiting requests, as protoc --descriptor_set_out
// writes it.
//
//go:embed testdata/usage-7dc2bf5.binpb
var earlierUsage []byte

// earlierDescriptors returns the descriptors of the messages in usage.proto as in commit 7dc2bf5.
func earlierDescriptors(t *testing.T) protoreflect.MessageDescriptors {
	t.Helper()
	var files descriptorpb.FileDescriptorSet
	if err := proto.Unmarshal(earlierUsage, &files); err != nil {
		t.Fatal(err)
	}
	earlier, err := protodesc.NewFile(files.File[0], protoregistry.GlobalFiles)
	if err != nil {
		t.Fatal(err)
	}
	return earlier.Messages()
}

// fill sets each field of a message to a value other than its default, up to a depth of nested messages.
func fill(m protoreflect.Message, depth int) {
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		isMessage := f.Kind() == protoreflect.MessageKind
		if isMessage && depth == 0 {
			continue
		}
		value := m.NewField(f)
		switch {
		case f.IsList() && isMessage:
			fill(value.List().AppendMutable().Message(), depth-1)
		case f.IsList():
			value.List().Append(scalar(f))
		case isMessage:
			fill(value.Message(), depth-1)
		default:
			value = scalar(f)
		}
		m.Set(f, value)
	}
}

// scalar returns a value of a field's type other than the default, which depends on the number of the field.
func scalar(f protoreflect.FieldDescriptor) protoreflect.Value {
	number := int64(f.Number())
	switch f.Kind() {
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(string(f.Name()))
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(true)
	case protoreflect.DoubleKind:
		return protoreflect.ValueOfFloat64(float64(number) / 2)
	case protoreflect.Uint64Kind, protoreflect.Fixed64Kind:
		return protoreflect.ValueOfUint64(uint64(number))
	case protoreflect.BytesKind:
		return protoreflect.ValueOfBytes([]byte(f.Name()))
	default:
		return protoreflect.ValueOfInt64(number)
	}
}

// recode encodes a message and decodes it as another type.
func recode[M proto.Message](t *testing.T, from proto.Message, into M) M {
	t.Helper()
	data, err := proto.Marshal(from)
	if err != nil {
		t.Fatal(err)
	}
	if err := proto.Unmarshal(data, into); err != nil {
		t.Fatal(err)
	}
	return into
}

// TestEarlierVersionReadsMessages guards against new fields that change what entries of the earlier version read in the
// fields that they know, and against fields of the earlier version whose number or type has changed.
func TestEarlierVersionReadsMessages(t *testing.T) {
	earlier := earlierDescriptors(t)
	for name, m := range map[protoreflect.Name]proto.Message{
		"UsageSet": &UsageSet{}, "UsageReply": &UsageReply{}, "ChooseRequest": &ChooseRequest{}, "ChooseReply": &ChooseReply{},
	} {
		t.Run(string(name), func(t *testing.T) {
			fill(m.ProtoReflect(), 3)
			want := dynamicpb.NewMessage(earlier.ByName(name))
			fill(want, 3)
			got := recode(t, m, dynamicpb.NewMessage(earlier.ByName(name)))
			if len(got.GetUnknown()) == 0 {
				t.Error("the earlier version knows all fields, want unknown ones")
			}
			if diff := cmp.Diff(proto.Message(want), got, protocmp.Transform(), protocmp.IgnoreUnknown()); diff != "" {
				t.Errorf("the earlier version reads other values: %s", diff)
			}
			if diff := cmp.Diff(m, recode(t, got, m.ProtoReflect().New().Interface()), protocmp.Transform()); diff != "" {
				t.Errorf("the current version reads other values: %s", diff)
			}
		})
	}
}

// TestCurrentVersionReadsEarlierMessages guards against requests and replies of the earlier version, which lack the new
// fields, that count as requests that may wait, as expired or as replies to wait.
func TestCurrentVersionReadsEarlierMessages(t *testing.T) {
	earlier := earlierDescriptors(t)
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		asEarlier := func(name protoreflect.Name) proto.Message {
			m := dynamicpb.NewMessage(earlier.ByName(name))
			fill(m, 3)
			return m
		}
		request := fromChooseRequest(recode(t, asEarlier("ChooseRequest"), &ChooseRequest{}))
		need := request.Need
		if need.MayWait || need.Account != "" || need.Weight != 0 || need.Rank != 0 || need.ExpectedOutput != 0 ||
			!need.LatestStart.IsZero() || !need.ArrivedAt.Equal(now) {
			t.Errorf("request of the earlier version: got %+v, want no new field", need)
		}
		if need.Request != "request" || need.Pool != "pool" || need.PromptTokens != 6 || need.MaxTokens != 7 ||
			need.Objective != 8*time.Microsecond || need.PauseObjective != 9*time.Microsecond || !need.WaitedAfterRefusal ||
			!need.Excluded["excluded"] || request.Number != 2 || request.Role != 3 || request.Report.Entry != "entry" {
			t.Errorf("request of the earlier version: got %+v", request)
		}
		choice := fromChooseReply(recode(t, asEarlier("ChooseReply"), &ChooseReply{}))
		if choice.Waiting || choice.PredictedStart != 0 || choice.Endpoint != "endpoint" || choice.Predicted != 5*time.Microsecond {
			t.Errorf("reply of the earlier version: got %+v", choice)
		}
		report := fromUsageSet(recode(t, asEarlier("UsageSet"), &UsageSet{}))
		if report.Entry != "entry" || report.Settled != 4 || len(report.Usages) != 1 || len(report.Leaving) != 1 ||
			len(report.Limits) != 1 || len(report.CutOff) != 1 || len(report.Unreached) != 1 {
			t.Errorf("usage report of the earlier version: got %+v", report)
		}
	})
}

// TestNewFieldsKeepTheirMeaning guards against new fields that are lost between two entries of the current version.
func TestNewFieldsKeepTheirMeaning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		need := placement.Need{
			Request: "r", Pool: "p", Account: "a", Weight: 2.5, Rank: 2, ArrivedAt: now.Add(-70 * time.Millisecond),
			LatestStart: now.Add(time.Second), MayWait: true, ExpectedOutput: 300,
		}
		sent := toChooseRequest(sharedload.ChooseRequest{Report: sharedload.UsageReport{Entry: "e"}, Need: need})
		got := fromChooseRequest(recode(t, sent, &ChooseRequest{})).Need
		got.Excluded = nil
		if diff := cmp.Diff(need, got); diff != "" {
			t.Errorf("request: difference %s", diff)
		}
		choice := sharedload.Choice{Waiting: true, PredictedStart: 40 * time.Millisecond}
		answer := fromChooseReply(recode(t, toChooseReply(choice), &ChooseReply{}))
		if !answer.Waiting || answer.PredictedStart != choice.PredictedStart || answer.Endpoint != "" {
			t.Errorf("reply: got %+v, want %+v", answer, choice)
		}
	})
}
