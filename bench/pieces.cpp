// Measures the readers that get bytes in pieces: processor time and memory for
// a byte while the number of bytes doubles. Both stay flat in a sound reader,
// whatever the pieces are. Prints one JSON object a row.

#include "base/json_reader.h"
#include "common/load/answer_check.h"
#include "memory/heap_meter.h"
#include "net/answer_head.h"
#include "net/answer_parser.h"
#include "net/body_memory.h"
#include "net/event_forms.h"
#include "net/frame_stream.h"
#include "router/stream_validator.h"
#include "settings/settings.h"
#include "thread_time.h"
#include "traffic/event_splitter.h"

#include <cstdint>
#include <cstdio>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

using namespace arbutus;
using bench::threadSeconds;

namespace {

constexpr std::size_t KiB = 1024;
constexpr std::size_t MiB = 1024 * KiB;
/// Sizes of one reader and form: the largest, and each a half of the next.
constexpr int Sizes = 4;
/// A piece that is no less than any text.
constexpr std::size_t WholeText = 64 * MiB;
/// A measurement that took longer ends its row, whose next would take twice or
/// four times as long.
constexpr double LongMeasurementSeconds = 2;

using bytes_function = std::function<void(std::string_view)>;

struct reader {
  std::string Name;
  /// Up to the limit of the reader, so that all bytes are read.
  std::size_t MaxBytes;
  std::vector<tests::event_form> Forms;
  std::vector<std::size_t> Pieces;
  /// Begins a message, and returns the function that takes its pieces.
  std::function<bytes_function()> Begin;
  /// Encodes the repeated bytes. Empty if they are read as they are.
  std::function<std::string(const std::string &)> Encode;
};

std::string chunked(const std::string &Body) {
  std::string Text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  Text.reserve(Text.size() + 6 * Body.size());
  for (const char Byte : Body) {
    Text += "1\r\n";
    Text += Byte;
    Text += "\r\n";
  }
  return Text;
}

/// A parser and the call that it reads the answer of.
struct parsed_call {
  net::http_call Call;
  net::impl::answer_parser Parser{Call, "upstream"};
};

bytes_function beginAnswer() {
  auto Answer = std::make_shared<parsed_call>();
  Answer->Parser.start();
  return [Answer](std::string_view Bytes) { Answer->Parser.read(Bytes); };
}

bytes_function beginFrames() {
  auto Stream = std::make_shared<net::frame_stream>();
  return [Stream](std::string_view Bytes) {
    (void)net::feedFrames(*Stream, Bytes, [](auto) {});
  };
}

/// A frame without its last bytes, so that it never becomes whole.
std::string unfinishedFrame(const std::string &Bytes) {
  return net::withLength(Bytes).substr(0, Bytes.size());
}

std::vector<reader> streamReaders() {
  return {{"event_splitter",
           256 * KiB,
           tests::EventForms,
           {1, 8, 16 * KiB},
           [] {
             auto Events = std::make_shared<traffic::event_splitter>();
             return [Events](std::string_view Bytes) {
               (void)Events->append(Bytes);
             };
           },
           nullptr},
          {"stream_validator",
           MiB,
           tests::EventForms,
           {1, 8, 16 * KiB},
           [] {
             auto Events =
                 std::make_shared<router::stream_validator>("own", "public");
             return [Events](std::string_view Bytes) {
               (void)Events->feed(Bytes);
             };
           },
           nullptr},
          {"answer_check",
           MiB,
           {{"no line end", "x"}, {"lines", "aaaaaaa\n"}, {"CR", "a\r"}},
           {1, 16 * KiB},
           [] {
             auto Plan = std::make_shared<tools::request_plan>();
             Plan->Kind = tools::request_kind::ChatStream;
             auto Check = std::make_shared<tools::answer_check>(*Plan);
             return [Plan, Check](std::string_view Bytes) {
               (void)Check->consume(Bytes, 200);
             };
           },
           nullptr}};
}

std::vector<reader> messageReaders() {
  return {{"feedFrames",
           8 * MiB - KiB,
           {{"one frame", "x"}},
           {1, 1448, 64 * KiB},
           beginFrames,
           unfinishedFrame},
          {"feedFrames",
           8 * MiB,
           {{"empty frames", std::string(4, '\0')},
            {"frames of a byte", std::string("\1\0\0\0x", 5)}},
           {1, 1448, 64 * KiB},
           beginFrames,
           nullptr},
          {"answer_parser, head",
           32 * KiB,
           {{"one field", "x"}},
           {1, 16 * KiB},
           beginAnswer,
           [](const std::string &Bytes) {
             return "HTTP/1.1 200 OK\r\nName: " + Bytes;
           }},
          {"answer_parser, head",
           32 * KiB,
           {{"empty lines", "\r\n"}},
           {1, 16 * KiB},
           beginAnswer,
           nullptr},
          {"answer_parser, chunks of a byte",
           4 * MiB,
           {{"body", "x"}},
           {1, 16 * KiB},
           beginAnswer,
           chunked}};
}

/// A reader of whole texts.
std::function<bytes_function()>
wholeText(const std::function<void(const std::string &)> &Read) {
  return [Read] {
    return [Read](std::string_view Text) { Read(std::string(Text)); };
  };
}

std::vector<reader> fileReaders() {
  // Short enough that the limits of a text let all of it be read.
  return {{"parseJson",
           256 * KiB,
           {{"numbers", "0,"},
            {"objects", "{},"},
            {"members", R"({"name":"a","x":0},)"}},
           {WholeText},
           wholeText([](const auto &Text) { (void)parseJson(Text); }),
           [](const std::string &Parts) { return "[" + Parts + "0]"; }},
          {"parseSettings",
           32 * KiB,
           {{"keys with dots", "a.a.a.a"}, {"comments", "# c\n"}},
           {WholeText},
           wholeText([](const auto &Text) {
             (void)settings::parseSettings(Text, "local.conf");
           }),
           nullptr}};
}

void printRow(const reader &Reader, const tests::event_form &Form,
              std::size_t Piece, std::size_t Size, double Seconds,
              const tests::heap_use &Heap) {
  const auto Bytes = static_cast<double>(Size);
  std::printf("{\"reader\": \"%s\", \"form\": \"%s\", \"piece\": %zu, "
              "\"bytes\": %zu, \"ns_a_byte\": %.2f, \"peak_a_byte\": %.2f, "
              "\"allocated_a_byte\": %.2f}\n",
              Reader.Name.c_str(), Form.Name.c_str(), Piece, Size,
              Seconds * 1e9 / Bytes, static_cast<double>(Heap.Peak) / Bytes,
              static_cast<double>(Heap.Allocated) / Bytes);
  std::fflush(stdout);
}

void measure(const reader &Reader, const tests::event_form &Form,
             std::size_t Piece) {
  for (int I = Sizes - 1; I >= 0; --I) {
    const std::size_t Size = Reader.MaxBytes >> static_cast<unsigned>(I);
    std::string Bytes = tests::repeated(Form.Part, Size);
    if (Reader.Encode) {
      Bytes = Reader.Encode(Bytes);
    }
    double Seconds = 0;
    const auto Heap = tests::heapUse([&] {
      const auto Read = Reader.Begin();
      const double Start = threadSeconds();
      tests::forEachPiece(Bytes, Piece, Read);
      Seconds = threadSeconds() - Start;
    });
    printRow(Reader, Form, Piece, Size, Seconds, Heap);
    if (Seconds > LongMeasurementSeconds) {
      return;
    }
  }
}

/// Time of one small body beside a crowd of open ones. When the memory is full,
/// each takes the place of another one.
void measureCrowd(std::size_t Crowd, bool IsFull) {
  constexpr std::size_t BodyBytes = 512;
  constexpr int Rounds = 2000;
  net::body_memory Memory(IsFull ? Crowd * BodyBytes : 64 * MiB);
  std::vector<std::unique_ptr<net::request_body>> Bodies;
  const std::string Bytes(BodyBytes, 'x');
  const auto Add = [&] {
    const auto Index = Bodies.size();
    Bodies.push_back(std::make_unique<net::request_body>(
        Memory, [&Bodies, Index] { Bodies[Index].reset(); }));
    (void)Bodies.back()->append(Bytes, instant(duration(Index)));
  };
  for (std::size_t I = 0; I < Crowd; ++I) {
    Add();
  }
  const double Start = threadSeconds();
  for (int I = 0; I < Rounds; ++I) {
    Add();
    if (!IsFull) {
      Bodies.pop_back();
    }
  }
  std::printf("{\"reader\": \"body_memory\", \"crowd\": %zu, \"full\": %s, "
              "\"ns_a_body\": %.0f}\n",
              Crowd, IsFull ? "true" : "false",
              (threadSeconds() - Start) * 1e9 / Rounds);
}

} // namespace

/// Usage: bench_pieces [READER]
int main(int Argc, char **Argv) {
  const std::string_view Wanted = Argc > 1 ? Argv[1] : "";
  for (const auto &Readers :
       {streamReaders(), messageReaders(), fileReaders()}) {
    for (const auto &Reader : Readers) {
      if (!Wanted.empty() && !Reader.Name.starts_with(Wanted)) {
        continue;
      }
      for (const auto &Form : Reader.Forms) {
        for (const std::size_t Piece : Reader.Pieces) {
          measure(Reader, Form, Piece);
        }
      }
    }
  }
  if (Wanted.empty() || Wanted == "body_memory") {
    for (const bool IsFull : {false, true}) {
      for (std::size_t Crowd = 500; Crowd <= 4000; Crowd *= 2) {
        measureCrowd(Crowd, IsFull);
      }
    }
  }
}
