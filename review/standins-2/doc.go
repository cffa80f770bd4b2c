// Command standins-2 plays the cases of the second review that are scripts. It starts the
// project's own programs as separate processes, and stands in for the platform's store,
// the endpoints, the clients and the links between zones. It uses no library.
//
// # Usage
//
//	standins-2 CASE DIR
//
// CASE names a case, and DIR is the folder for record.txt. The working directory is the
// root of the repository. With TROUBLE=0 in the environment the case leaves its
// disruption out. The exit code is 0 if the rule held, 1 if it was broken and 2 if the
// case could not run.
package main
