#pragma once

// Certificates for tests, made in memory and written to the folder for temporary files.

#include "godwit/router/router_mesh.h"

#include <string>

namespace Godwit::TestCertificates
{

// Makes a certificate for `commonName`, signed by the authority called `authority`, which is made at its first
// use. Files are named after `commonName` and the process, and removed when the process ends.
MeshTls issue(const std::string &commonName, const std::string &authority);

} // namespace Godwit::TestCertificates
