#include "settings/settings_error.h"

namespace arbutus::settings {

std::string formatErrors(const settings_errors &Errors) {
  std::string Text;
  for (const auto &Error : Errors) {
    Text += Error.File + ":" + std::to_string(Error.Line) + ": ";
    if (!Error.Key.empty()) {
      Text += Error.Key + ": ";
    }
    Text += Error.Reason;
    if (!Error.Suggestion.empty()) {
      Text += " (did you mean \"" + Error.Suggestion + "\"?)";
    }
    Text += '\n';
  }
  return Text;
}

} // namespace arbutus::settings
