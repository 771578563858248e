// What the logs of a test's programs tell of one request.
#pragma once

#include <doctest/doctest.h>

#include <QProcess>
#include <QStringList>
#include <string>

namespace kumquat {

// Returns what `kumquatctl explain` prints for the request from these log files.
inline std::string ExplainRequest(const std::string& id, const QStringList& logs) {
  QProcess explain;
  explain.start(QString::fromStdString(std::string(KUMQUAT_BIN_DIR) + "/kumquatctl"),
                QStringList{QStringLiteral("explain"), QString::fromStdString(id)} + logs);
  CHECK(explain.waitForFinished());
  CHECK(explain.exitCode() == 0);
  return explain.readAllStandardOutput().toStdString();
}

}  // namespace kumquat
