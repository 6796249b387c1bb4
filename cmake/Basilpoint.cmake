# Functions that define the project's libraries, tests and tools.

add_library(basilpoint_options INTERFACE)
target_include_directories(basilpoint_options INTERFACE ${PROJECT_SOURCE_DIR}/include)
target_compile_options(basilpoint_options INTERFACE -Wall -Wextra -Wpedantic -Werror)
# Asio 1.74 uses std::exchange in C++20 without including its header.
target_compile_options(basilpoint_options INTERFACE -include utility)
target_compile_definitions(basilpoint_options INTERFACE
  BOOST_ASIO_NO_DEPRECATED BOOST_BEAST_USE_STD_STRING_VIEW SPDLOG_FMT_EXTERNAL)

# basilpoint_library(NAME SOURCES ... DEPENDS ...): the static library BasilpointNAME.
function(basilpoint_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_library(Basilpoint${name} STATIC ${ARG_SOURCES})
  target_link_libraries(Basilpoint${name} PUBLIC basilpoint_options ${ARG_DEPENDS})
endfunction()

# basilpoint_test(NAME SOURCES ... DEPENDS ...): the Boost.Test program NAMETests and the CTest test NAME.
function(basilpoint_test name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name}Tests ${PROJECT_SOURCE_DIR}/unittests/TestMain.cpp ${ARG_SOURCES})
  target_compile_definitions(${name}Tests PRIVATE BOOST_TEST_DYN_LINK)
  target_link_libraries(${name}Tests PRIVATE basilpoint_options ${ARG_DEPENDS} Boost::unit_test_framework)
  add_test(NAME ${name} COMMAND ${name}Tests --log_level=warning)
endfunction()

# basilpoint_tool(NAME SOURCES ... DEPENDS ...): the program NAME, built into the bin folder.
function(basilpoint_tool name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE basilpoint_options ${ARG_DEPENDS})
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()
