// The log over log4cxx; fields travel in its mapped diagnostic context.

#include "daemon/Log.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/helpers/transcoder.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logger.h>
#include <log4cxx/mdc.h>

namespace jacinthspindle::daemon {

namespace {

    log4cxx::LevelPtr levelOf(LogLevel level)
    {
        switch (level) {
        case LogLevel::Debug:
            return log4cxx::Level::getDebug();
        case LogLevel::Info:
            return log4cxx::Level::getInfo();
        case LogLevel::Warn:
            return log4cxx::Level::getWarn();
        case LogLevel::Error:
            break;
        }
        return log4cxx::Level::getError();
    }

    log4cxx::LoggerPtr logger()
    {
        static const log4cxx::LoggerPtr instance = log4cxx::Logger::getLogger("jacinthspindled");
        return instance;
    }

} // namespace

void startLog(LogLevel level)
{
    auto layout = std::make_shared<log4cxx::JSONLayout>();
    auto appender = std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemErr());
    log4cxx::BasicConfigurator::configure(appender);
    logger()->setLevel(levelOf(level));
}

void logState(LogLevel level, const std::string& message, const std::vector<LogField>& fields)
{
    if (!logger()->isEnabledFor(levelOf(level)))
        return;
    for (const auto& it : fields)
        log4cxx::MDC::put(it.name, it.value);
    logger()->forcedLog(levelOf(level), message);
    log4cxx::MDC::clear();
}

} // namespace jacinthspindle::daemon
